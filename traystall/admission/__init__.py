"""Capacity shares of congested pools, by route and by customer; the package does no I/O."""
