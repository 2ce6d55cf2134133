"""The registry of targets: reports of targets, merged in one table that gateways watch."""
