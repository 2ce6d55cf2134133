"""Decide whether an attempt that failed may be made again."""

from enum import StrEnum

import msgspec

MAX_ATTEMPTS = 4
# Tokens that each success adds to the budget, and that each retry takes.
TOKENS_PER_SUCCESS = 0.2
MAX_BUDGET_TOKENS = 20.0


class FailureKind(StrEnum):
    """Name what an attempt's failure proves."""

    NOT_RUN = "not-run"
    DOUBT = "doubt"
    FAILED = "failed"


class RetryBudget(msgspec.Struct):
    """Hold tokens for retries: a fraction of recent successes, bounded."""

    tokens: float = MAX_BUDGET_TOKENS

    def on_success(self) -> None:
        """Add what one success allows."""
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + TOKENS_PER_SUCCESS)

    def take(self) -> bool:
        """Take one retry's token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def is_safe(kind: FailureKind, repeatable: bool) -> bool:
    """Return whether running again can't double anything."""
    return kind is FailureKind.NOT_RUN or repeatable


def may_retry(
    kind: FailureKind, repeatable: bool, attempts: int, budget: RetryBudget, remaining: float
) -> bool:
    """Return whether to try again, and take the budget's token if so."""
    if not is_safe(kind, repeatable) or attempts >= MAX_ATTEMPTS or remaining <= 0:
        return False
    return budget.take()
