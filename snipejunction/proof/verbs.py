"""What the action lines of a script do."""

from __future__ import annotations

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final, TypeAlias

from snipejunction.proof import (
    verbs_hosts,
    verbs_settings,
    verbs_upstreams,
)
from snipejunction.proof.script import ActionLine, ScriptError
from snipejunction.proof.stage import Stage

Verb: TypeAlias = Callable[..., None]


def schedule_actions(stage: Stage) -> None:
    """Schedule all actions of a stage's script.

    Raises:
        ScriptError: for a verb that does not exist.
    """
    for action in stage.script.actions:
        if action.verb not in VERBS:
            raise ScriptError(f'unknown verb {action.verb}')
        stage.run.schedule.at(action.when, _Act(stage, action))


class _Act:
    """One action, bound to its stage."""

    __slots__ = ('_action', '_stage')

    def __init__(self, stage: Stage, action: ActionLine) -> None:
        self._stage = stage
        self._action = action

    def __call__(self) -> None:
        self._stage.run.recorder.record(
            self._stage.run.now,
            'action',
            verb=self._action.verb,
            arguments=self._action.arguments,
        )
        VERBS[self._action.verb](self._stage, *self._action.arguments)


VERBS: Final[MappingProxyType[str, Any]] = MappingProxyType(
    {
        'kill': verbs_hosts.kill,
        'start': verbs_hosts.start,
        'restart': verbs_hosts.restart,
        'wipe': verbs_hosts.wipe,
        'stop': verbs_hosts.stop,
        'freeze': verbs_hosts.freeze,
        'isolate': verbs_hosts.isolate,
        'rejoin': verbs_hosts.rejoin,
        'cut': verbs_hosts.cut,
        'heal': verbs_hosts.heal,
        'part': verbs_hosts.part,
        'join': verbs_hosts.join,
        'double': verbs_hosts.double,
        'reorder': verbs_hosts.reorder,
        'lose_messages': verbs_hosts.lose_messages,
        'silence': verbs_upstreams.silence,
        'slow': verbs_upstreams.slow,
        'slow_service': verbs_upstreams.slow_service,
        'cold': verbs_upstreams.cold,
        'cold_place': verbs_upstreams.cold_place,
        'shed': verbs_upstreams.shed,
        'unshed': verbs_upstreams.unshed,
        'limit': verbs_upstreams.limit,
        'unlimit': verbs_upstreams.unlimit,
        'lose': verbs_upstreams.lose,
        'leave': verbs_upstreams.leave,
        'drain': verbs_settings.drain,
        'restore': verbs_settings.restore,
        'roll': verbs_upstreams.roll,
        'repartition': verbs_upstreams.repartition,
        'race': verbs_settings.race,
        'change': verbs_settings.change,
    },
)
