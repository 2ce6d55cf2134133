"""Framed thrift messages between traystall processes."""
