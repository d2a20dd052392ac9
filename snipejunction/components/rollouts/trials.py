"""Roll-outs as one entry host knows them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from snipejunction.commands import LogEvent
from snipejunction.components.rollouts.const import (
    EVENT_ROLLOUT_CHANGED,
    STATE_NAMES,
)
from snipejunction.components.rollouts.exposure import ExposureBounds
from snipejunction.components.rollouts.messages import RolloutRecord
from snipejunction.components.rollouts.trial import Trial


class TrialTable:
    """The roll-outs of all services and their current versions.

    Without ``exposure`` bounds there are no roll-outs, and versions are not
    looked at.
    """

    __slots__ = ('_trials', '_versions', 'exposure')

    def __init__(self) -> None:
        """Create a table without roll-outs."""
        self.exposure: ExposureBounds | None = None
        self._trials: dict[str, Trial] = {}
        self._versions: Mapping[str, str] = {}

    @property
    def versions(self) -> Mapping[str, str]:
        """Return the current versions by service."""
        return self._versions

    @property
    def trials(self) -> list[Trial]:
        """Return the roll-outs that are known."""
        return list(self._trials.values())

    @property
    def open_trials(self) -> list[Trial]:
        """Return the roll-outs that are running or switching."""
        return [trial for trial in self._trials.values() if trial.is_open]

    def find_trial(self, service: str) -> Trial | None:
        """Return the newest roll-out of a service, None without one."""
        return self._trials.get(service)

    def apply(
        self,
        records: Iterable[RolloutRecord],
        versions: Mapping[str, str],
        index: int,
        now: float,
        *,
        is_first: bool,
    ) -> Iterator[LogEvent]:
        """Apply the roll-outs and the versions of a deployment.

        ``is_first`` is whether it is the first one since this host started:
        an earlier process of it may have used its part of the slack.
        """
        self._versions = versions
        newest = {
            record.service: record
            for record in sorted(records, key=lambda record: record.number)
        }
        for service in self._trials.keys() - newest.keys():
            self._trials.pop(service)
        for service, record in newest.items():
            known = self._trials.get(service)
            if known is None or known.record.number != record.number:
                self._trials[service] = Trial(
                    record, now, has_slack=not is_first
                )
            elif known.record.state == record.state:
                continue
            else:
                known.record = record
                known.changed_at = now
            yield LogEvent(
                EVENT_ROLLOUT_CHANGED,
                number=record.number,
                service=service,
                target=record.target,
                state=STATE_NAMES[record.state],
                index=index,
            )
