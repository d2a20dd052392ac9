"""Samples of what each host has applied and whether it takes work."""

from __future__ import annotations

from typing import Final

from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost

SAMPLE_SECONDS: Final = 0.05


class Sampler:
    """Records each host's lease and revision at a steady pace."""

    __slots__ = ('_last', '_run')

    def __init__(self, run: VirtualRun) -> None:
        """Create a sampler of the hosts of ``run``."""
        self._run = run
        self._last: dict[str, tuple[int, int]] = {}

    def begin(self) -> None:
        """Take the first sample and schedule the next."""
        for host in self._run.hosts.values():
            if host.is_alive:
                self._sample(host)
        self._run.schedule.after(SAMPLE_SECONDS, self.begin)

    def _sample(self, host: VirtualHost) -> None:
        node = host.core.node
        revision = node.settings.revision
        self._run.recorder.record(
            self._run.now,
            'sample',
            host=host.name,
            incarnation=host.incarnation,
            revision=revision,
            has_lease=node.lease.is_held(host.now),
        )
        state = (host.incarnation, revision)
        if self._last.get(host.name) != state:
            self._last[host.name] = state
            self._run.recorder.record(
                self._run.now,
                'documents',
                host=host.name,
                incarnation=host.incarnation,
                revision=revision,
                documents=dict(node.settings.documents),
            )
