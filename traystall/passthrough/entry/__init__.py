"""The callers' side: requests as they come, events as they go, the phases of a stop."""
