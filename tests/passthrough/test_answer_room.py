"""Large responses that are read at the same time wait for each other, and each one ends."""

import asyncio
import random

import pytest

from traystall.passthrough.exchange.answer_room import AnswerRoom

_MEGABYTE = 2**20


async def _read(room, size, log, step=_MEGABYTE):
    with room.hold() as held:
        for have in range(step, size + 1, step):
            await held.grow(have)
            log.append(room.held_bytes)
            await asyncio.sleep(0)


def test_responses_together_stay_within_the_room():
    async def scenario():
        room, log = AnswerRoom(16 * _MEGABYTE), []
        async with asyncio.timeout(10):
            await asyncio.gather(*(_read(room, 4 * _MEGABYTE, log) for _ in range(40)))
        assert room.held_bytes == 0
        # The oldest one may exceed it by itself.
        assert max(log) <= 16 * _MEGABYTE + 8 * _MEGABYTE

    asyncio.run(scenario())


def test_response_larger_than_the_room_ends():
    async def scenario():
        room, log = AnswerRoom(_MEGABYTE), []
        async with asyncio.timeout(10):
            await asyncio.gather(*(_read(room, 8 * _MEGABYTE, log) for _ in range(5)))
        assert room.held_bytes == 0

    asyncio.run(scenario())


def test_small_responses_never_wait():
    async def scenario():
        room = AnswerRoom(_MEGABYTE)
        with room.hold() as large, room.hold() as small:
            await large.grow(8 * _MEGABYTE)
            async with asyncio.timeout(1):
                await small.grow(10_000)

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_responses_whose_callers_leave_give_their_room_back(seed):
    chance = random.Random(seed)

    async def scenario():
        room, log = AnswerRoom(8 * _MEGABYTE), []
        tasks = [
            asyncio.create_task(_read(room, chance.randint(1, 8) * _MEGABYTE, log))
            for _ in range(30)
        ]
        for task in chance.sample(tasks, 15):
            await asyncio.sleep(0)
            task.cancel()
        async with asyncio.timeout(10):
            await asyncio.gather(*tasks, return_exceptions=True)
        assert (room.held_bytes, len(room._answers)) == (0, 0)

    asyncio.run(scenario())
