"""Exceptions, clocks, identifiers, logging and metrics shared by every layer."""
