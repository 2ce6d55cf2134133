"""Pieces of stages: who batches them, where they are made, the room of their results."""
