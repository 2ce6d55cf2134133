"""The gateway daemon: accepts callers and runs the stages of their requests."""
