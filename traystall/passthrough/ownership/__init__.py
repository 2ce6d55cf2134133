"""Which one gateway does something for all."""
