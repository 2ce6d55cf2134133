"""Pure state machine of claims and outcomes of not-repeatable work."""
