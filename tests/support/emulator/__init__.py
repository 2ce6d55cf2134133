"""Targets, an operator and callers of a pass-through gateway, with faults as switches."""
