"""Bound the memory of large responses that are read from targets at the same time.

A response is kept whole until its end is known. Small ones need no room. A large one takes room as
it grows; beyond the capacity it waits, and its target is not read meanwhile. The oldest never
waits, so that one of them always ends.
"""

import asyncio

# Responses up to this size need no room.
_SMALL_BYTES = 64 * 1024
# Copies of a response while its parts are joined.
_COPIES = 2


class AnswerRoom:
    """The room of one process; `capacity_bytes` is for all its large responses together."""

    def __init__(self, capacity_bytes: float = float("inf")):
        self.capacity_bytes = capacity_bytes
        self.held_bytes = 0
        # The oldest first.
        self._answers: dict[AnswerHold, None] = {}
        self._waiters: list[asyncio.Future] = []

    def hold(self) -> "AnswerHold":
        """Return the room of one response, as a context manager."""
        return AnswerHold(self)

    def may_hold(self, answer: "AnswerHold", size: int) -> bool:
        """Return whether a response may grow to `size` bytes of memory."""
        is_oldest = next(iter(self._answers), answer) is answer
        return is_oldest or self.held_bytes - answer.held_bytes + size <= self.capacity_bytes

    async def wait(self, answer: "AnswerHold", size: int) -> None:
        """Return once a response may grow to `size` bytes, and let it have them."""
        while not self.may_hold(answer, size):
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        self.held_bytes += size - answer.held_bytes
        answer.held_bytes = size
        self._answers[answer] = None

    def release(self, answer: "AnswerHold") -> None:
        """Give the room of a response back."""
        self.held_bytes -= answer.held_bytes
        answer.held_bytes = 0
        if answer not in self._answers:
            return
        del self._answers[answer]
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class AnswerHold:
    """The room that one response takes."""

    def __init__(self, room: AnswerRoom):
        self._room = room
        self.held_bytes = 0

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._room.release(self)

    async def grow(self, size: int) -> None:
        """Return once the response may have `size` bytes."""
        if size > _SMALL_BYTES:
            await self._room.wait(self, size * _COPIES)
