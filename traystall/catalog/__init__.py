"""The declared configuration: schema, checks, revisions and deltas."""
