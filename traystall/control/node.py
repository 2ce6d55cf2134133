"""Drive a replica: pass it ticks, messages and proposals, and process its outputs.

This module keeps the order that safety requires: messages that depend on a write are sent only
after that write is synced, and the replica's own log counts for a commit only once it is synced.
"""

import asyncio
import copy
import functools
import logging
from collections.abc import Callable

import msgspec

from traystall.consensus.log import entry_bytes
from traystall.consensus.models import EntryKind, Ready, SaveHardState
from traystall.consensus.replica import Replica
from traystall.control import room
from traystall.control.exceptions import CommitInDoubt, InvalidCommand, LeaderElsewhere, NoRoom
from traystall.control.state import StateMachine
from traystall.core import clock, metrics
from traystall.core.exceptions import DiskFailed, NotLeader, RpcError
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import AppendReply
from traystall.storage.folder import DataFolder

TICK_SECONDS = 0.05
# Delay between two attempts to write to a failing disk.
DISK_RETRY_SECONDS = 0.2
# Default number of applied entries between two snapshots.
SNAPSHOT_EVERY = 4096

logger = logging.getLogger(__name__)


class _StorageJob(msgspec.Struct):
    """Hold writes, the messages to send once they are synced, and the log position then reached."""

    writes: list
    messages: list
    term: int
    index: int

    @property
    def has_hard_state(self) -> bool:
        """Return whether a term or a vote is among the writes."""
        return any(isinstance(write, SaveHardState) for write in self.writes)


class Node:
    """Run one replica over a data folder and links to its peers."""

    def __init__(
        self,
        replica: Replica,
        state: StateMachine,
        folder: DataFolder,
        links: LinkPool,
        address: str,
        known_addresses: dict[str, str],
        snapshot_every: int = SNAPSHOT_EVERY,
    ):
        self.replica = replica
        self.state = state
        self.on_applied: list[Callable[[], None]] = []
        self.failed: asyncio.Future = asyncio.get_running_loop().create_future()
        self._folder = folder
        self._links = links
        self._address = address
        self._known_addresses = dict(known_addresses)
        self._snapshot_every = snapshot_every
        self._jobs: asyncio.Queue[_StorageJob] = asyncio.Queue()
        self._storage_busy = False
        self._disk_fails = False
        # Jobs with a term or a vote that is not synced yet.
        self._unsynced_hard_states = 0
        # Size of the entries applied since the last snapshot.
        self._applied_bytes = 0
        self._proposals: list[tuple[bytes, asyncio.Future]] = []
        self._waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._leader_seen_at = float("-inf")

    def start(self) -> None:
        """Restore the state machine and begin to tick."""
        if self.replica.log.snapshot is not None:
            self.state.restore(self.replica.log.snapshot.data)
        self._spawn(self._tick_forever())
        self._spawn(self._store_forever())

    async def stop(self) -> None:
        """Stop ticking; nothing is written after this returns."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.get_running_loop().run_in_executor(None, self._folder.close)

    # ---- queries ----

    def is_fresh(self) -> bool:
        """Return whether this daemon leads with a lease or has lately heard from a leader."""
        now = clock.monotonic()
        if self.replica.is_leader:
            return self.replica.holds_lease(now)
        return now - self._leader_seen_at < self.replica.timing.election_max

    def leader_address(self) -> str:
        """Return the address of the leader known to this daemon, or an empty string."""
        return self.address_of(self.replica.leader) if self.replica.leader else ""

    def address_of(self, identity: str) -> str:
        """Return the address of a replica, or an empty string."""
        for member in self.replica.members:
            if member.identity == identity:
                return member.address
        return self._known_addresses.get(identity, "")

    # ---- inputs ----

    def deliver(self, message) -> None:
        """Pass a peer's message to the replica and process its outputs."""
        address = getattr(message, "sender_address", None)
        if address:
            self._known_addresses[message.sender] = address
        self.replica.receive(message, clock.monotonic())
        if self.replica.leader and message.sender == self.replica.leader:
            self._leader_seen_at = clock.monotonic()
        self.process_ready()

    async def propose(self, command: bytes, timeout: float):
        """Return the result of a committed command.

        Raise LeaderElsewhere if it is certainly not in the log, CommitInDoubt if it may be,
        InvalidCommand if it can't be applied, NoRoom if the disk has no room for it.
        """
        self._require_valid(command)
        self._require_room(len(command))
        future = asyncio.get_running_loop().create_future()
        self._proposals.append((command, future))
        if len(self._proposals) == 1:
            asyncio.get_running_loop().call_soon(self._flush_proposals)
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError as error:
            raise CommitInDoubt("No majority confirmed the change in time.") from error

    def _require_valid(self, command):
        """Raise InvalidCommand if the command can't be applied.

        Such a command in the log would crash every replica at each start.
        """
        try:
            self.state.check(command)
        except msgspec.DecodeError as error:
            raise InvalidCommand(f"The command can't be applied: {error}.") from error

    def _require_room(self, size):
        missing = room.missing_bytes(self._disk_use(), size)
        if not missing:
            return
        if self._applied_bytes:
            # The snapshot replaces the log; a later attempt may fit.
            self._compact()
        logger.warning("change refused: no room", extra={"bytes": size, "missing": missing})
        raise NoRoom(f"The disk has no room for a change of {size} bytes: {missing} are missing.")

    def _disk_use(self) -> room.DiskUse:
        uncommitted = self.replica.log.bytes_after(self.replica.applied_index)
        return room.DiskUse(
            capacity=self._folder.capacity_bytes,
            used=self._folder.used_bytes,
            snapshot=self._snapshot_bytes(),
            log=self._applied_bytes + uncommitted,
            uncommitted=uncommitted,
        )

    def _snapshot_bytes(self):
        snapshot = self.replica.log.snapshot
        return len(snapshot.data) if snapshot else 0

    async def change_members(self, members, timeout: float) -> None:
        """Propose a membership change and return once it is committed.

        Raise LeaderElsewhere if this replica is not the leader, or if it lost leadership before the
        commit and another leader's entry replaced the change; CommitInDoubt if the change may have
        been committed; ConsensusError if it may not be proposed now.
        """
        try:
            index = self.replica.propose_members(members, clock.monotonic())
        except NotLeader as error:
            raise LeaderElsewhere(self.leader_address()) from error
        future = asyncio.get_running_loop().create_future()
        self._waiting[index] = (self.replica.term, future)
        self.process_ready()
        try:
            async with asyncio.timeout(timeout):
                await future
        except TimeoutError as error:
            raise CommitInDoubt("No majority confirmed the change of members in time.") from error

    def process_ready(self) -> None:
        """Process the replica's outputs until there are none left."""
        while ready := self.replica.take_ready():
            self._process(ready)
        metrics.consensus_term.set({}, self.replica.term)
        metrics.consensus_commit.set({}, self.replica.commit_index)
        metrics.disk_used_bytes.set({}, self._folder.used_bytes)
        metrics.log_bytes.set({}, self._applied_bytes)

    # ---- outputs ----

    def _flush_proposals(self):
        proposals, self._proposals = self._proposals, []
        commands = [command for command, _ in proposals]
        try:
            indexes = self.replica.propose(commands, clock.monotonic())
        except NotLeader:
            for _, future in proposals:
                _fail(future, LeaderElsewhere(self.leader_address()))
            return
        for index, (_, future) in zip(indexes, proposals, strict=True):
            self._waiting[index] = (self.replica.term, future)
        self.process_ready()

    def _process(self, ready: Ready):
        self._send(ready.messages)
        if ready.restore is not None:
            self.state.restore(ready.restore.data)
            self._applied_bytes = 0
            self._fail_waiting_in_doubt()
        if ready.writes or ready.messages_after_sync:
            self._store(ready)
        if ready.committed:
            self._apply(ready.committed)
        elif ready.restore is not None:
            self._notify_applied()

    def _store(self, ready):
        idle = not self._storage_busy and self._jobs.empty()
        if idle and not ready.writes:
            self._send(ready.messages_after_sync)
            return
        log = self.replica.log
        job = _StorageJob(ready.writes, ready.messages_after_sync, log.last_term, log.last_index)
        self._unsynced_hard_states += job.has_hard_state
        self._jobs.put_nowait(job)
        if self._disk_fails and not self._unsynced_hard_states:
            self._send(self._contact_replies(ready.messages_after_sync))

    def _contact_replies(self, messages) -> list:
        """Return replies to a leader's messages that confirm only what is durable here.

        Without them a leader whose followers' disks are full would lose its lease, and nothing
        could be read until a disk accepts a vote.
        """
        synced = self.replica.synced_index
        replies = [m for m in messages if isinstance(m, AppendReply) and m.success]
        copies = [copy.copy(reply) for reply in replies]
        for reply in copies:
            reply.match_index = min(reply.match_index, synced)
        return copies

    async def _store_forever(self):
        while True:
            jobs = [await self._jobs.get()]
            self._storage_busy = True
            jobs += self._take_jobs()
            await self._write_until_synced(jobs)
            self._storage_busy = False
            self._after_sync(jobs)

    def _take_jobs(self) -> list[_StorageJob]:
        return [self._jobs.get_nowait() for _ in range(self._jobs.qsize())]

    async def _write_until_synced(self, jobs):
        """Write until the disk accepts the writes of `jobs`; their messages wait until then.

        Jobs that arrive while the disk fails are added to `jobs`: a snapshot among them replaces
        the writes before it. A leader with a failing disk continues as long as a majority of the
        other voters confirms its entries; only its own copy does not count.
        """
        loop = asyncio.get_running_loop()
        step = functools.partial(self._folder.write, _writes_of(jobs))
        failures = 0
        while True:
            try:
                await loop.run_in_executor(None, step)
                break
            except DiskFailed as error:
                failures += 1
                self._disk_fails = True
                if failures == 1:
                    logger.error("disk failed", extra={"why": str(error)})
            await asyncio.sleep(DISK_RETRY_SECONDS)
            added = self._take_jobs()
            jobs += added
            step = functools.partial(self._folder.retry, _writes_of(added))
        self._disk_fails = False
        if failures:
            logger.warning("disk works again", extra={"failures": failures})

    def _after_sync(self, jobs):
        for job in jobs:
            self._unsynced_hard_states -= job.has_hard_state
            self._send(job.messages)
        self.replica.on_synced(jobs[-1].term, jobs[-1].index)
        self.process_ready()

    def _apply(self, entries):
        for entry in entries:
            result = None
            self._applied_bytes += entry_bytes(entry)
            if entry.kind == EntryKind.COMMAND:
                result = self.state.apply(entry.command)
            self._resolve(entry, result)
        self._notify_applied()
        log = self.replica.log
        is_long = self.replica.applied_index - log.snapshot_index >= self._snapshot_every
        if is_long or self._applied_bytes >= self._log_limit_bytes():
            self._compact()

    def _log_limit_bytes(self):
        return room.log_limit_bytes(self._folder.capacity_bytes, self._snapshot_bytes())

    def _compact(self):
        """Replace the applied log by a snapshot, but keep its newest entries for followers."""
        applied, data = self.replica.applied_index, self.state.snapshot()
        self.replica.compact(applied, data, retained_bytes=self._log_limit_bytes())
        self._applied_bytes = 0

    def _resolve(self, entry, result):
        term, future = self._waiting.pop(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(result)
        else:
            future.set_exception(LeaderElsewhere(self.leader_address()))

    def _fail_waiting_in_doubt(self):
        for _, future in self._waiting.values():
            _fail(future, CommitInDoubt("The state was replaced while the change was pending."))
        self._waiting.clear()

    def _notify_applied(self):
        for callback in self.on_applied:
            callback()

    def _send(self, messages):
        for message in messages:
            if message.to == self.replica.identity:
                self.replica.receive(message, clock.monotonic())
                continue
            address = self.address_of(message.to)
            if not address:
                continue
            if hasattr(message, "sender_address"):
                message.sender_address = self._address
            self._spawn(self._send_one(address, message))

    async def _send_one(self, address, message):
        try:
            await self._links.link(address).send(message)
        except RpcError as error:
            logger.debug("message dropped", extra={"peer": address, "why": str(error)})

    async def _tick_forever(self):
        while True:
            self.replica.tick(clock.monotonic())
            self.process_ready()
            await asyncio.sleep(TICK_SECONDS)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task):
        """Drop a finished task; an unexpected exception in it ends the daemon."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not self.failed.done():
            logger.critical("replica failed", exc_info=task.exception())
            self.failed.set_exception(task.exception())


def _writes_of(jobs) -> list:
    return [write for job in jobs for write in job.writes]


def _fail(future, error):
    if not future.done():
        future.set_exception(error)
