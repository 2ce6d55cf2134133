"""State and reachability of targets and data centres, as known at one gateway."""
