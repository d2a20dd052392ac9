"""Verbs of operators."""

from __future__ import annotations

from typing import Final

from snipejunction.const import STATE_IN, STATE_OUT
from snipejunction.proof.operators import Change
from snipejunction.proof.stage import OPERATOR, Stage

RACE_OPERATORS: Final = 2
DIGEST_DIGITS: Final = 64


def drain(stage: Stage, data_centre: str) -> None:
    """Take a data centre out."""
    _set_state(stage, data_centre, STATE_OUT)


def restore(stage: Stage, data_centre: str) -> None:
    """Bring a data centre back."""
    _set_state(stage, data_centre, STATE_IN)


def _set_state(stage: Stage, data_centre: str, state: str) -> None:
    document = {'state': state, 'region': data_centre}
    stage.change({f'/data-centres/{data_centre}': document})


def race(stage: Stage, team: str) -> None:
    """Let two operators change one subtree with equal numbers."""
    alive = [host for host in stage.run.hosts.values() if host.is_alive]
    base = max(host.core.node.settings.revision for host in alive)
    for number in range(RACE_OPERATORS):
        change_id = stage.new_change_id()
        digest = f'{number}{len(change_id)}'.ljust(DIGEST_DIGITS, '0')
        path = f'/teams/{team}/callers/{change_id}'
        change = Change(
            stage.run,
            OPERATOR,
            change_id,
            {path: {'token_sha256': digest}},
            base=base,
            loses_answer=True,
        )
        change.send()


def change(stage: Stage, team: str) -> None:
    """Write a new document into a team's subtree."""
    change_id = stage.new_change_id()
    path = f'/teams/{team}/callers/{change_id}'
    digest = change_id.encode().hex().ljust(DIGEST_DIGITS, '0')
    change = Change(
        stage.run,
        OPERATOR,
        change_id,
        {path: {'token_sha256': digest}},
        rebases=True,
    )
    change.send()
