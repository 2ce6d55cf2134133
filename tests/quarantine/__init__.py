"""Tests of the quarantine of requests under which targets end."""
