"""Settings of the daemons, read from flags and environment variables."""
