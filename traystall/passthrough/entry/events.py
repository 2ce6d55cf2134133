"""Cut a stream of server-sent events at the ends of events, and read their ids."""

_BOUNDARIES = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventSplitter:
    """Collect bytes and hand out whole events; a partial one is kept back."""

    def __init__(self):
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """Return what has come of an event that is not whole."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> list[bytes]:
        """Take in bytes and return the events that are now whole, their ends included."""
        self._partial += data
        events = []
        while (end := _end_of_event(self._partial)) >= 0:
            events.append(bytes(self._partial[:end]))
            del self._partial[:end]
        return events


def event_id(event: bytes) -> str | None:
    """Return the id that an event carries, or None."""
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return None


def follows(event: bytes, last_id: str | None) -> bool:
    """Return whether an event comes after the one called `last_id`; unnumbered ones do."""
    own = event_id(event)
    if own is None or last_id is None or not (own.isdigit() and last_id.isdigit()):
        return True
    return int(own) > int(last_id)


def is_next(event: bytes, last_id: str | None) -> bool:
    """Return whether nothing is missing between the event called `last_id` and this one."""
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
