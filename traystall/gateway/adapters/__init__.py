"""Outside protocols of targets, one module a kind, each behind the same typed call."""
