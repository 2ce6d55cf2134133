"""Errors, clock, identifiers, logs and metrics that every layer uses."""
