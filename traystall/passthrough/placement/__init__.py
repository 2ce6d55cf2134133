"""Which engine or target gets a request."""
