"""Compare two checkouts on the users' bench, with the same days and seeds side by side."""
