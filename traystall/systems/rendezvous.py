"""Rendezvous hashing: order names by a key, with few changes when a name is added or removed."""

import xxhash


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Return `names` in the order of their hash with `key`, the same in every process."""
    return sorted(names, key=lambda name: xxhash.xxh64_intdigest(f"{key}\0{name}".encode()))
