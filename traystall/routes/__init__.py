"""Routing: the route, customer and pool of a request, and the properties of pools."""
