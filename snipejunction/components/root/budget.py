"""Token budgets that limit the extra load of hedges and retries."""

from __future__ import annotations

from typing import Final

_INITIAL_TOKENS: Final = 10.0
_MAX_TOKENS: Final = 20.0
# Low, since each hedge duplicates work at an upstream and every new root
# starts with this many.
INITIAL_HEDGE_TOKENS: Final = 2.0


class TokenBudget:
    """Tokens earned by planned sub-requests and spent by extra ones."""

    __slots__ = ('_tokens',)

    def __init__(self, tokens: float = _INITIAL_TOKENS) -> None:
        """Create a budget with an initial balance of ``tokens``.

        Without an initial balance, extra sub-requests never exceed the share
        that planned sub-requests have earned.
        """
        self._tokens = tokens

    @property
    def fill_ratio(self) -> float:
        """Return the balance as a share of the maximum balance."""
        return self._tokens / _MAX_TOKENS

    def earn(self, tokens: float) -> None:
        """Add tokens, up to the maximum balance."""
        self._tokens = min(_MAX_TOKENS, self._tokens + tokens)

    def can_spend(self, tokens: int) -> bool:
        """Return whether the balance covers ``tokens``."""
        return self._tokens >= tokens

    def spend(self, tokens: int) -> None:
        """Remove tokens; check ``can_spend`` first."""
        self._tokens -= tokens
