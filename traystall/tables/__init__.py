"""Entities in typed tables; a table knows nothing of the systems that use it."""
