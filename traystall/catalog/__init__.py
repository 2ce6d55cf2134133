"""The declared configuration: bundles, checks, revisions, deltas and transfers."""
