"""The first connection that opens is used, and no other one stays open.

The failure: one tunnel was refused and another one opened a few turns of the event loop later, and
the caller got 500.
"""

import asyncio

import pytest

from traystall.passthrough.exceptions import ConnectFailed
from traystall.passthrough.tunnels.race import first_open

HEAD_START_SECONDS = 0.01


class Connection:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


class Race:
    """Openers that end on demand, and what they have opened."""

    def __init__(self):
        self.opened = []
        self.started = []
        self.may_open = asyncio.Event()

    def opener(self, seconds=None, fails=False, turns=0):
        """Return an opener that takes `seconds`, or waits for `may_open` and then some turns."""

        async def open_connection():
            self.started.append(seconds)
            if seconds is None:
                await self.may_open.wait()
                for _ in range(turns):
                    await asyncio.sleep(0)
            else:
                await asyncio.sleep(seconds)
            if fails:
                raise ConnectFailed(f"after {seconds}")
            self.opened.append(Connection())
            return self.opened[-1]

        return open_connection

    async def run(self, *openers, head_start=HEAD_START_SECONDS):
        winner = await first_open(list(openers), head_start)
        await asyncio.sleep(HEAD_START_SECONDS * 5)
        assert [c for c in self.opened if not c.is_closed] == [winner]
        return winner


@pytest.mark.parametrize("turns", range(6))
def test_connection_that_opens_shortly_after_another_one_fails_is_no_error(turns):
    async def scenario():
        race = Race()
        asyncio.get_running_loop().call_later(0.05, race.may_open.set)
        late = race.opener(turns=turns)
        await race.run(late, race.opener(fails=True), race.opener(0.0), head_start=0.04)

    asyncio.run(scenario())


def test_connections_that_open_in_the_same_turn_of_the_event_loop_are_no_error():
    async def scenario():
        race = Race()
        asyncio.get_running_loop().call_later(HEAD_START_SECONDS * 5, race.may_open.set)
        await race.run(race.opener(), race.opener(), race.opener())
        assert len(race.opened) == 3

    asyncio.run(scenario())


def test_connection_that_opens_after_the_winner_is_closed():
    async def scenario():
        race = Race()
        winner = await race.run(race.opener(0.05), race.opener(0.0), race.opener(0.0))
        assert winner is race.opened[0]

    asyncio.run(scenario())


def test_next_opener_starts_when_the_one_before_fails():
    async def scenario():
        race = Race()
        await race.run(race.opener(0.0, fails=True), race.opener(0.0), head_start=None)
        assert race.started == [0.0, 0.0]

    asyncio.run(scenario())


def test_opener_is_not_started_while_the_one_before_has_its_head_start():
    async def scenario():
        race = Race()
        await race.run(race.opener(0.01), race.opener(0.0), head_start=1.0)
        assert race.started == [0.01]

    asyncio.run(scenario())


def test_error_of_the_first_opener_is_raised_if_none_opens():
    async def scenario():
        race = Race()
        openers = [race.opener(0.02, fails=True), race.opener(0.0, fails=True)]
        with pytest.raises(ConnectFailed, match=r"after 0\.02"):
            await first_open(openers, HEAD_START_SECONDS)

    asyncio.run(scenario())


def test_race_that_is_cancelled_leaves_no_connection_open():
    async def scenario():
        race = Race()
        racing = asyncio.create_task(first_open([race.opener(), race.opener()], 0.0))
        await asyncio.sleep(HEAD_START_SECONDS)
        race.may_open.set()
        racing.cancel()
        await asyncio.gather(racing, return_exceptions=True)
        await asyncio.sleep(HEAD_START_SECONDS)
        assert all(connection.is_closed for connection in race.opened)

    asyncio.run(scenario())
