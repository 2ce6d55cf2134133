"""Connections to targets through another gateway, for a gateway whose own path is broken."""
