"""The gateway daemon: accepts callers' requests and runs their stages."""
