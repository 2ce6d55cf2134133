"""Stages of requests and their pieces: batching, data locality, and the memory of their results."""
