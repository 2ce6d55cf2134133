"""Admission control of requests, and the budget of repeated attempts."""
