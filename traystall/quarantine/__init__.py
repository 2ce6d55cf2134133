"""Quarantine of requests under which targets end.

A request that crashes the target that runs it is often sent again under a new id, through any
gateway. The ends are therefore counted for all gateways together, in the replicated state. A
request with several ends is a suspect. It may run only as a trial, one trial at a time in each
pool, and is refused if a trial ends its target as well. A suspect is identified by a keyed digest
of the customer, path and body of the request.
"""
