"""Typed tables of entities and their state; tables don't depend on the systems that use them."""
