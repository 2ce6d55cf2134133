"""Choice of the engine or target for a request."""
