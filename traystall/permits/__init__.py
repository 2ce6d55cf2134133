"""Distributed rate limiting: permits for requests to targets that announce a rate limit.

Such a limit holds for all gateways together. For each incarnation of a target, two gateways are
its lenders: they grant permits, each of which allows one request. The other gateways request a
permit before they send, and all gateways share the limits that targets announce.
"""
