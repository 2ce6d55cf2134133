"""An emulator of targets, operators and callers of a pass-through gateway, with faults."""
