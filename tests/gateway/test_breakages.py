"""Mutation tests of the fault matrix: each deliberate breakage must make a case fail."""

import asyncio

import pytest

from tests.gateway import test_fault_matrix as matrix
from traystall.core.exceptions import TargetDoubt
from traystall.gateway.adapters import http, kinds
from traystall.gateway.ledger import LedgerUnavailable
from traystall.gateway.runner import RequestRunner
from traystall.gateway.stages import StageRunner
from traystall.systems import routing
from traystall.tables.requests import RequestRow, RunState


def retries_whatever_ran(patch):
    """Work that is not repeatable is retried after an unknown outcome."""
    patch.setattr("traystall.systems.retries.is_safe", lambda kind, repeatable: True)


def always_says_not_run(patch):
    """Every refusal reports that nothing ran."""
    patch.setattr(RequestRow, "run_state", property(lambda self: RunState.NOT_RUN))


def attempt_ids_unchecked(patch):
    """A response is accepted even if it belongs to another attempt."""
    patch.setattr(http, "_require_same_attempt", lambda response, call: None)


def token_positions_unchecked(patch):
    """Tokens are appended in the order of arrival, without a check of their index."""

    def take(data, call):
        import json

        choice = json.loads(data)["choices"][0]
        if choice["finish_reason"] is None:
            call.tokens.append(choice["text"])
            call.on_token(len(call.tokens) - 1, choice["text"])
        return choice["finish_reason"]

    patch.setattr(kinds, "_read_event", take)


def cut_stream_is_complete(patch):
    """A stream that ends without its end marker counts as complete."""
    original = kinds._read_tokens

    async def read(response, call):
        try:
            return await original(response, call)
        except TargetDoubt:
            return "length"

    patch.setattr(kinds, "_read_tokens", read)


def place_unchecked(patch):
    """Targets in all data centres are candidates."""
    patch.setattr(routing, "candidates", lambda rows, customer, stage, excluded, now: list(rows))


def leaving_ignored(patch):
    """A target that reports it is leaving keeps getting work."""
    patch.setattr("traystall.gateway.stages.apply_presence", lambda target, report: None)
    patch.setattr("traystall.gateway.learning.apply_presence", lambda target, report: None)


def claim_not_requested(patch):
    """Keyed work is sent without a claim."""

    async def claim(self, row, stage):
        return None

    patch.setattr(RequestRunner, "_claim", claim)


def claim_in_doubt_is_won(patch):
    """A claim whose reply is lost counts as won."""
    original = RequestRunner._request_claim

    async def ask(self, row, stage):
        try:
            return await original(self, row, stage)
        except Exception as error:
            if isinstance(error.__cause__, LedgerUnavailable):
                row.on_claimed(float("inf"))
                return None
            raise

    patch.setattr(RequestRunner, "_request_claim", ask)


def doubtful_claim_is_released(patch):
    """A claim is released although the work may have run."""
    patch.setattr(RequestRow, "may_have_run_since_claim", property(lambda self: False))


def sending_not_recorded(patch):
    """An attempt is not recorded as sent before its first byte is sent."""
    patch.setattr(StageRunner, "_on_sending", lambda self, run, target: None)


def single(fault, kind, both=False):
    return lambda: matrix.test_single_answers(fault, kind, both)


def streamed(fault):
    return lambda: matrix.test_streamed_answers(fault, True, False)


CATCHES = {
    retries_whatever_ran: single("reset without an answer", "unkeyed"),
    always_says_not_run: single("closed without an answer", "unkeyed"),
    attempt_ids_unchecked: single("answered for another attempt", "unkeyed", True),
    token_positions_unchecked: matrix.test_resume_on_engines_that_repeat_tokens,
    cut_stream_is_complete: streamed("stream cut"),
    place_unchecked: single("none", "repeatable"),
    leaving_ignored: single("refused leaving", "repeatable", True),
    claim_not_requested: single("none", "keyed"),
    claim_in_doubt_is_won: matrix.test_work_is_not_sent_after_a_lost_claim_reply,
    doubtful_claim_is_released: single("reset without an answer", "keyed"),
    sending_not_recorded: single("silent", "unkeyed", True),
}


@pytest.mark.parametrize("breakage", CATCHES, ids=lambda b: b.__name__)
def test_breakage_is_caught(breakage, monkeypatch):
    breakage(monkeypatch)
    with pytest.raises((AssertionError, KeyError, asyncio.CancelledError)):
        CATCHES[breakage]()
