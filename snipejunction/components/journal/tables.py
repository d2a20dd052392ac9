"""Tables of the journal component."""

from __future__ import annotations

from snipejunction.components.journal.run import Run


class JournalTable:
    """Open runs of this root and the last known leader of the journal.

    A dispatched run stays in the table until its outcome is committed. A
    response for a run that is missing thus never belongs to a run that was
    dispatched and is not committed yet.
    """

    __slots__ = ('_last_run_id', '_runs', 'contacted_host', 'leader')

    def __init__(self) -> None:
        """Create an empty table."""
        self._runs: dict[int, Run] = {}
        self._last_run_id = 0
        self.leader = ''
        self.contacted_host = ''

    @property
    def runs(self) -> dict[int, Run]:
        """Return the open runs by id."""
        return self._runs

    def next_run_id(self, seed: int) -> int:
        """Return the next run id; the first one is ``seed`` plus one."""
        self._last_run_id = (self._last_run_id or seed) + 1
        return self._last_run_id

    def add(self, run: Run) -> None:
        """Add an open run."""
        self._runs[run.run_id] = run

    def remove(self, run: Run) -> None:
        """Remove a run."""
        self._runs.pop(run.run_id, None)

    def find(self, run_id: int, token: str) -> Run | None:
        """Return the open run of an attempt, None if there is none."""
        run = self._runs.get(run_id)
        if run is None or run.token != token:
            return None
        return run
