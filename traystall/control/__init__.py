"""The control daemon: replicated state, orders to targets, subscribers."""
