"""Routes: which request goes to which pool, and what a pool can do. Pure."""
