"""Protocols of the kinds of targets, behind one typed call."""
