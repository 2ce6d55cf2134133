"""Targets that register themselves: reports merged into one table, watched by gateways."""
