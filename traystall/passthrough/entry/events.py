"""Split a stream of server-sent events into events, and read their ids."""

_BOUNDARIES = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffer bytes and return complete events; a partial one stays in the buffer."""

    def __init__(self):
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """Return the received bytes of an incomplete event."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that are complete now, with their terminators."""
        self._partial += data
        events = []
        while (end := _end_of_event(self._partial)) >= 0:
            events.append(bytes(self._partial[:end]))
            del self._partial[:end]
        return events


def event_id(event: bytes) -> str | None:
    """Return the id of an event, or None if it has none."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def follows(event: bytes, last_id: str | None) -> bool:
    """Return whether an event comes after `last_id`; events without a numeric id always do."""
    own = event_id(event)
    if own is None or last_id is None or not (own.isdigit() and last_id.isdigit()):
        return True
    return int(own) > int(last_id)


def is_next(event: bytes, last_id: str | None) -> bool:
    """Return whether an event directly follows `last_id`, with no event missing in between."""
    own = event_id(event)
    if own is None or last_id is None or not (own.isdigit() and last_id.isdigit()):
        return True
    return int(own) == int(last_id) + 1


def _end_of_event(data):
    ends = []
    for boundary in _BOUNDARIES:
        at = data.find(boundary)
        if at >= 0:
            ends.append(at + len(boundary))
    return min(ends, default=-1)
