"""Serve multi-stage model pipelines whose data must stay in declared data centres."""

__version__ = "0.1.0"
