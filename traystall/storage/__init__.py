"""Durable files of a control daemon: write-ahead log, snapshots, identity."""
