"""Virtual operators: they change settings and resend what got lost."""

from __future__ import annotations

from typing import Any, Final

from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.control.messages import (
    ChangeRequest,
    ChangeResponse,
)
from snipejunction.const import CODE_CONFLICT

CHANGE_PATIENCE_SECONDS: Final = 8.0
RESEND_SECONDS: Final = 0.3
MAX_SENDS: Final = 40


class Change:
    """One change of settings from its first sending to its outcome.

    With ``loses_answer`` the first answer is lost on its way, and the change
    is sent again to another host. With ``rebases`` the operator answers a
    conflict by a new change that rests on the winner's revision.
    """

    __slots__ = (
        '_base',
        '_change_id',
        '_is_over',
        '_loses_answer',
        '_operator',
        '_rebases',
        '_run',
        '_sends',
        '_written',
    )

    def __init__(
        self,
        run: VirtualRun,
        operator: str,
        change_id: str,
        written: dict[str, Any],
        base: int | None = None,
        loses_answer: bool = False,
        rebases: bool = False,
    ) -> None:
        """Create a change; without a base the host's revision is taken."""
        self._run = run
        self._operator = operator
        self._change_id = change_id
        self._written = written
        self._base = base
        self._loses_answer = loses_answer
        self._rebases = rebases
        self._sends = 0
        self._is_over = False

    def send(self) -> None:
        """Send the change to some host that runs."""
        if self._is_over or self._sends >= MAX_SENDS:
            return
        self._sends += 1
        sends = self._sends
        host = self._choose_host()
        if host is None:
            self._run.schedule.after(RESEND_SECONDS, self.send)
            return
        if self._base is None:
            self._base = host.core.node.settings.revision
        if sends == 1:
            self._record('change', None)
        message = ChangeRequest(
            0,
            self._operator,
            self._change_id,
            self._base,
            self._written,
        )
        host.call(message, self._take)
        self._run.schedule.after(
            CHANGE_PATIENCE_SECONDS,
            lambda: self._give_up(sends),
        )

    def _choose_host(self) -> VirtualHost | None:
        alive = [host for host in self._run.hosts.values() if host.is_alive]
        return self._run.random.choice(alive) if alive else None

    def _take(self, answered: ChangeResponse) -> None:
        if self._is_over:
            return
        if self._loses_answer:
            self._loses_answer = False
            self._run.schedule.after(RESEND_SECONDS, self.send)
            return
        refusal = answered.refusal
        is_final = refusal is None or refusal.retry_after < 0
        if is_final or (refusal and refusal.code == CODE_CONFLICT):
            self._is_over = True
            self._record('change_answered', answered)
            if refusal and refusal.code == CODE_CONFLICT and self._rebases:
                self._rebase(answered.revision)
            return
        self._record('change_refused', answered)
        self._run.schedule.after(RESEND_SECONDS, self.send)

    def _rebase(self, revision: int) -> None:
        rebased = Change(
            self._run,
            self._operator,
            f'{self._change_id}-again',
            self._written,
            base=revision,
            rebases=True,
        )
        rebased.send()

    def _give_up(self, sends: int) -> None:
        if sends == self._sends:
            self.send()

    def _record(self, kind: str, answered: ChangeResponse | None) -> None:
        self._run.recorder.record(
            self._run.now,
            kind,
            change_id=self._change_id,
            base=self._base,
            written=self._written,
            revision=answered.revision if answered else 0,
            refusal=answered.refusal if answered else None,
        )
