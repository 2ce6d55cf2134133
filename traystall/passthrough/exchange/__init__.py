"""The targets' side: connections, attempts, and what a failure allows."""
