"""Retry policy: whether a failed attempt may be repeated, within a retry budget."""

from enum import StrEnum

import msgspec

MAX_ATTEMPTS = 4
# Tokens that each success adds to the budget; each retry takes one.
TOKENS_PER_SUCCESS = 0.2
MAX_BUDGET_TOKENS = 20.0


class FailureKind(StrEnum):
    """What an attempt's failure proves about its execution."""

    NOT_RUN = "not-run"
    DOUBT = "doubt"
    FAILED = "failed"


class RetryBudget(msgspec.Struct):
    """Token bucket for retries, filled by a fraction of the successes."""

    tokens: float = MAX_BUDGET_TOKENS

    def on_success(self) -> None:
        """Add the tokens of one success."""
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + TOKENS_PER_SUCCESS)

    def take(self) -> bool:
        """Take the token of one retry; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a retry that was not made."""
        self.tokens = min(MAX_BUDGET_TOKENS, self.tokens + 1.0)


def is_safe(kind: FailureKind, repeatable: bool) -> bool:
    """Return whether a retry can't run the work twice with an effect."""
    return kind is FailureKind.NOT_RUN or repeatable


def may_retry(
    kind: FailureKind, repeatable: bool, attempts: int, budget: RetryBudget, remaining: float
) -> bool:
    """Return whether to retry, and take a token from the budget if so."""
    if not is_safe(kind, repeatable) or attempts >= MAX_ATTEMPTS or remaining <= 0:
        return False
    return budget.take()
