"""Idle check of the journal component for a planned stop."""

from __future__ import annotations

from typing import Final

from snipejunction.components.journal.run import Run, RunPhase
from snipejunction.node import Node

# Bounds how long a stop waits for a journal without a quorum.
_MAX_FINISH_RESENDS: Final = 20


def is_idle(node: Node) -> bool:
    """Return whether no non-idempotent request is open on this host."""
    return all(_is_settled(run) for run in node.journal.runs.values())


def _is_settled(run: Run) -> bool:
    if run.phase is not RunPhase.FINISHING or not run.is_answered:
        return False
    return run.finish_resends > _MAX_FINISH_RESENDS
