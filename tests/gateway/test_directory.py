"""A gateway's directory equals its control daemon's, whatever sequence of replies it got."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.old_peers import OldControl, as_old_reply
from traystall.control.directory import DirectoryUpdates
from traystall.gateway.configuration import ConfigurationFollower
from traystall.gateway.directory import DirectoryCache
from traystall.rpc.gen.wire.ttypes import GatewayRecord, WatchReply, WatchRequest
from traystall.rpc.messages import decode, encode
from traystall.tables.gateways import GATEWAY_TIMEOUT_SECONDS, GatewayRow, GatewayTable

# Limits that are low enough for the random sequences to exceed them.
_REMEMBERED_DROPS = 3
_INSTANCES = 5
_LIVES = 2
_SEQUENCES = 300


def row(instance, life=1, now=0.0, state="serving", leaving=(), started_at=0.0):
    return GatewayRow(
        identity=f"{instance}/{life}",
        instance=instance,
        data_centre="here",
        address=f"{instance}:80",
        rpc_address=f"{instance}:70",
        number=1,
        state=state,
        seen_at=now,
        direct=True,
        leaving=leaving,
        started_at=started_at,
    )


def essentials(rows):
    return [(r.identity, r.instance, r.address, r.state, r.leaving) for r in rows]


class Control:
    """Reply to watches of one table, in the wire encoding."""

    def __init__(self, now=0.0):
        self.table = GatewayTable(_REMEMBERED_DROPS)
        self.news = DirectoryUpdates(self.table)

    def answer(self, request: bytes, now: float) -> bytes:
        reply = WatchReply()
        self.news.add_directory(reply, decode(WatchRequest, request), now)
        return encode(reply)


def ask(followed, with_directory=True):
    request = WatchRequest()
    followed.add_known_version(request, with_directory)
    return encode(request)


def watch(followed, control, now):
    """Send a watch and apply the reply; return it."""
    reply = decode(WatchReply, control.answer(ask(followed), now))
    followed.take(reply, now)
    return reply


def test_only_changes_are_sent_and_other_rows_are_kept():
    control, followed = Control(), DirectoryCache()
    for name in "abc":
        control.table.put(row(name, started_at=-30.0))
    assert len(watch(followed, control, 0.0).directory) == 3
    control.table.put(row("b", now=2.0, state="draining", started_at=-30.0))
    control.table.put(row("c", life=2, now=2.0, started_at=1.0))
    reply = watch(followed, control, 2.5)
    assert reply.directory is None and reply.directory_dropped == ["c/1"]
    assert {r.identity for r in reply.directory_changed} == {"b/1", "c/2"}
    started = {r.identity: r.started_at for r in followed.rows}
    assert started == pytest.approx({"a/1": -30.0, "b/1": -30.0, "c/2": 1.0})
    assert [r.state for r in followed.rows] == ["serving", "draining", "serving"]
    assert followed.rows[0].seen_at == 0.0


@pytest.mark.parametrize("field", ["number", "evacuation_version", "seen_at"])
def test_change_of_a_volatile_field_is_not_sent(field):
    control, followed = Control(), DirectoryCache()
    control.table.put(row("a"))
    watch(followed, control, 0.0)
    control.table.put(msgspec.structs.replace(row("a", now=1.0), **{field: 7}))
    reply = watch(followed, control, 7.0)
    assert reply.directory is None and reply.directory_base is None


def test_gateway_that_timed_out_is_dropped():
    control, followed = Control(), DirectoryCache()
    control.table.put(row("a"))
    control.table.put(row("b"))
    watch(followed, control, 0.0)
    later = GATEWAY_TIMEOUT_SECONDS + 1.0
    control.table.put(row("b", now=later, state="draining"))
    reply = watch(followed, control, later)
    assert reply.directory_dropped == ["a/1"] and reply.directory is None
    assert [r.identity for r in followed.rows] == ["b/1"]


def test_other_daemon_sends_a_full_copy_once():
    first, second, followed = Control(), Control(), DirectoryCache()
    for control in (first, second):
        control.table.put(row("a"))
    watch(followed, first, 0.0)
    second.table.put(row("b"))
    first.table.put(row("c"))
    assert first.table.version == second.table.version
    followed.switch_source()
    assert len(watch(followed, second, 0.0).directory) == 2
    assert watch(followed, second, 0.0).directory is None
    assert essentials(followed.rows) == essentials(second.table.live(0.0))


def test_watch_that_timed_out_causes_no_full_copy():
    control, followed = Control(), DirectoryCache()
    control.table.put(row("a"))
    watch(followed, control, 0.0)
    followed.switch_source()
    control.table.put(row("b"))
    assert watch(followed, control, 0.0).directory is None
    assert essentials(followed.rows) == essentials(control.table.live(0.0))


@pytest.mark.parametrize(
    "spoil",
    [
        lambda reply: setattr(reply, "directory_dropped", []),
        lambda reply: setattr(reply, "directory_changed", []),
        lambda reply: setattr(reply, "directory_base", reply.directory_base - 1),
        lambda reply: setattr(reply, "directory_epoch", "another epoch"),
        lambda reply: setattr(reply, "directory_check", None),
    ],
)
def test_inconsistent_changes_are_refused_and_a_full_copy_is_requested(spoil):
    control, followed = Control(), DirectoryCache()
    control.table.put(row("a"))
    control.table.put(row("b"))
    watch(followed, control, 0.0)
    control.table.put(row("a", life=2, now=1.0))
    reply = decode(WatchReply, control.answer(ask(followed), 1.0))
    spoil(reply)
    before = essentials(followed.rows)
    followed.take(reply, 1.0)
    assert essentials(followed.rows) == before
    assert watch(followed, control, 1.0).directory is not None
    assert essentials(followed.rows) == essentials(control.table.live(1.0))


_put = st.tuples(
    st.just("put"),
    st.integers(0, _INSTANCES - 1),
    st.integers(1, _LIVES),
    st.sampled_from(["serving", "draining"]),
    st.sampled_from([(), ("t@1",)]),
)
_step = st.one_of(
    _put,
    _put,
    _put,
    st.tuples(st.just("wait"), st.sampled_from([0.3, 1.0, GATEWAY_TIMEOUT_SECONDS + 0.5])),
    st.tuples(st.just("watch")),
    st.tuples(st.just("watch")),
    st.tuples(st.just("watch")),
    st.tuples(st.just("lose a reply")),
    st.tuples(st.just("take an old reply"), st.integers(0, 5)),
    st.tuples(st.just("restart the daemon"), st.integers(0, 1)),
    st.tuples(st.just("turn")),
    st.tuples(
        st.just("request only the revision"),
    ),
)


class Play:
    """Run one random sequence of events with two control daemons and one gateway."""

    def __init__(self):
        self.now = 100.0
        self.controls = [Control(), Control()]
        self.followed = DirectoryCache()
        self.position = 0
        self.replies: list[bytes] = []
        self.is_sure = True

    def play(self, step):
        action, *arguments = step
        getattr(self, "_" + action.replace(" ", "_"))(*arguments)

    def _put(self, number, life, state, leaving):
        for control in self.controls:
            control.table.put(row(f"g{number}", life, self.now, state, leaving, 10.0 * life))

    def _wait(self, seconds):
        self.now += seconds

    def _watch(self):
        self._reply(with_directory=True)
        self.followed.take(decode(WatchReply, self.replies[-1]), self.now)
        if self.is_sure:
            # Replies that arrive in order are correct without the help of the checksum.
            assert self.followed._version == self.controls[self.position % 2].table.version
            self.check()
        # An old reply may have been refused or applied; from now on replies arrive in order.
        self.is_sure = True

    def _lose_a_reply(self):
        self._reply(with_directory=True)

    def _take_an_old_reply(self, back):
        if back < len(self.replies):
            self.followed.take(decode(WatchReply, self.replies[-1 - back]), self.now)
            self.is_sure = False

    def _restart_the_daemon(self, which):
        self.controls[which] = Control()

    def _turn(self):
        self.position += 1
        self.followed.switch_source()

    def _request_only_the_revision(self):
        before = list(self.followed.rows)
        reply = decode(WatchReply, self._reply(with_directory=False))
        self.followed.take(reply, self.now)
        assert reply.directory is None and reply.directory_base is None
        assert self.followed.rows == before

    def _reply(self, with_directory):
        control = self.controls[self.position % 2]
        self.replies.append(control.answer(ask(self.followed, with_directory), self.now))
        return self.replies[-1]

    def check(self):
        # A gateway that has timed out is reported as dropped once the table has dropped its row.
        control = self.controls[self.position % 2]
        held = sorted(control.table._rows.values(), key=lambda r: r.identity)
        assert essentials(self.followed.rows) == essentials(held)
        started = [r.started_at for r in held]
        assert [r.started_at for r in self.followed.rows] == pytest.approx(started)


@settings(max_examples=_SEQUENCES, derandomize=True, deadline=None)
@given(st.lists(_step, min_size=20, max_size=80))
def test_any_sequence_of_changes_leads_to_what_the_daemon_lists(steps):
    play = Play()
    for step in steps:
        play.play(step)
    # Whatever went before, two watches in order are enough.
    play.play(("watch",))
    play.play(("watch",))
    play.check()


def test_started_at_does_not_depend_on_the_delay_of_a_reply():
    """A reply that arrives late must not change the start times of the gateways in it."""
    play = Play()
    put = ("put", 0, 1, "serving", ())
    late_reply = [
        *[put] * 8,
        ("watch",),
        *[put] * 4,
        ("wait", 0.3),
        ("put", 1, 1, "serving", ()),
        ("lose a reply",),
        ("wait", 0.3),
        *[put] * 2,
        ("take an old reply", 0),
    ]
    for step in late_reply:
        play.play(step)
    play.play(("watch",))
    play.play(("watch",))
    play.check()


def test_old_daemon_with_the_same_version_number_sends_a_full_copy():
    """Old daemons compare versions without an epoch, so they must not get another daemon's."""
    control, old, followed = Control(), OldControl(), DirectoryCache()
    control.table.put(row("a"))
    watch(followed, control, 0.0)
    old.table.put(row("b"))
    assert old.table.version == control.table.version
    followed.switch_source()
    watch(followed, old, 0.0)
    assert essentials(followed.rows) == essentials(old.table.live(0.0))
    assert watch(followed, old, 0.0).directory is None
    old.table.put(row("c"))
    assert len(watch(followed, old, 0.0).directory) == 2
    followed.switch_source()
    control.table.put(row("d"))
    assert len(watch(followed, control, 0.0).directory) == 2
    assert essentials(followed.rows) == essentials(control.table.live(0.0))


def test_old_gateway_gets_full_copies_from_a_new_daemon():
    control = Control()
    control.table.put(row("a"))

    def ask_as_old(version):
        request = encode(WatchRequest(directory_version=version))
        return as_old_reply(control.answer(request, 0.0))

    first = ask_as_old(0)
    assert [r.identity for r in first.directory] == ["a/1"]
    assert ask_as_old(first.directory_version).directory is None
    control.table.put(row("b"))
    second = ask_as_old(first.directory_version)
    assert [r.identity for r in second.directory] == ["a/1", "b/1"]
    assert second.directory_version == control.table.version


class _Link:
    def __init__(self, control):
        self._control = control

    def link(self, address):
        return self

    async def call(self, request, timeout):
        self.request = request
        return decode(WatchReply, self._control.answer(encode(request), 0.0))


@pytest.mark.parametrize("control", [Control(), OldControl()], ids=["new", "old"])
def test_revision_is_fetched_without_the_directory(control):
    """Each gateway fetches a new revision from the control daemon that announces it first."""
    control.table.put(row("a"))
    link = _Link(control)
    follower = ConfigurationFollower(link, [], [], GatewayRecord)
    asyncio.run(follower.fetch_from("any"))
    assert link.request.without_directory
    assert follower.directory == []
    assert watch(follower._directory, control, 0.0).directory is not None
