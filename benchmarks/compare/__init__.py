"""Compare two checkouts on the users' bench: the same days and seeds, played side by side."""
