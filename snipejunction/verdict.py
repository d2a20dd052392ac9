"""Verdicts on whether a refused request may have run."""

from __future__ import annotations

from enum import Enum

from snipejunction.helpers.records import Record
from snipejunction.helpers.wire import wire


class Verdict(Enum):
    """Whether a request may have run."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    RAN = 'ran'

    @property
    def may_retry(self) -> bool:
        """Return whether a retry cannot repeat a side effect."""
        return self is Verdict.NOT_RUN


@wire(1)
class Refusal(Record):
    """Reason why a request was refused, and whether to retry it.

    ``code`` is stable and documented; ``retry_after`` is in seconds, zero for
    an immediate retry and negative if a retry is not useful.
    """

    __slots__ = ('code', 'detail', 'retry_after', 'verdict_text')

    def __init__(
        self,
        verdict_text: str,
        code: str,
        detail: str,
        retry_after: float = 0,
    ) -> None:
        """Create a refusal."""
        self.verdict_text = verdict_text
        self.code = code
        self.detail = detail
        self.retry_after = retry_after

    @property
    def verdict(self) -> Verdict:
        """Return the verdict of the refusal."""
        return Verdict(self.verdict_text)


def not_run_refusal(code: str, detail: str, retry_after: float = 0) -> Refusal:
    """Return a refusal for a request that certainly did not run."""
    return Refusal(Verdict.NOT_RUN.value, code, detail, retry_after)


def may_have_run_refusal(code: str, detail: str) -> Refusal:
    """Return a refusal for a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN.value, code, detail, -1)
