"""Data centres that operators have emptied: no new work goes to their targets."""
