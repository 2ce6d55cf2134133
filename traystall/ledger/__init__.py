"""The ledger of claims and outcomes of requests that must not run twice."""
