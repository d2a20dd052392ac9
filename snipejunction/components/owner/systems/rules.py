"""Conditions under which an owner may dispatch to a searcher."""

from __future__ import annotations

from typing import Final

from snipejunction.components.owner.const import LEASE_CLOSE_SECONDS
from snipejunction.components.owner.searcher import Searcher
from snipejunction.const import (
    CODE_COLD,
    CODE_DATA_CENTRE_OUT,
    CODE_NO_CONNECTION,
    CODE_NO_LEASE,
    CODE_NOT_OWNER,
    CODE_SEARCHER_GONE,
    CODE_SEARCHER_LEAVING,
    CODE_UNKNOWN_SERVICE,
)
from snipejunction.node import Node
from snipejunction.verdict import Refusal, not_run_refusal

_SHORT_RETRY_SECONDS: Final = 0.2
_LONG_RETRY_SECONDS: Final = 1.0


def find_refusal(node: Node, searcher: Searcher, now: float) -> Refusal | None:
    """Return why work must be refused, None if it may be queued."""
    if not node.lease.is_held(now):
        return not_run_refusal(
            CODE_NO_LEASE, 'the owner holds no lease', _SHORT_RETRY_SECONDS
        )
    if searcher.lost_at_revision:
        return not_run_refusal(
            CODE_NOT_OWNER, 'another host owns it', _SHORT_RETRY_SECONDS
        )
    if node.settings.is_out(searcher.data_centre):
        return not_run_refusal(
            CODE_DATA_CENTRE_OUT, 'its data centre is out', _LONG_RETRY_SECONDS
        )
    if searcher.is_leaving:
        return not_run_refusal(CODE_SEARCHER_LEAVING, 'it is leaving', -1)
    if searcher.is_expired(now):
        return not_run_refusal(
            CODE_SEARCHER_GONE, 'it announces itself no more', -1
        )
    return _find_state_refusal(searcher)


def _find_state_refusal(searcher: Searcher) -> Refusal | None:
    if not searcher.has_service_settings:
        return not_run_refusal(
            CODE_UNKNOWN_SERVICE, 'its service has no settings', -1
        )
    if searcher.health.is_down:
        return not_run_refusal(
            CODE_NO_CONNECTION, 'it takes no connections', _LONG_RETRY_SECONDS
        )
    if not searcher.warmth.effective_limit:
        return not_run_refusal(
            CODE_COLD, 'it bears no work yet', _LONG_RETRY_SECONDS
        )
    return None


def may_contact(node: Node, searcher: Searcher, now: float) -> bool:
    """Return whether this host may connect and dispatch to the searcher."""
    if node.lease.remaining(now) <= LEASE_CLOSE_SECONDS:
        return False
    if (
        searcher.is_leaving
        or searcher.lost_at_revision
        or not searcher.has_service_settings
    ):
        return False
    if searcher.is_expired(now):
        return False
    if node.settings.is_out(searcher.data_centre):
        return False
    return is_sole_owner(node, searcher)


def is_sole_owner(node: Node, searcher: Searcher) -> bool:
    """Return whether no other host can still act as the owner."""
    return node.view.is_exclusive_owner(
        searcher.key,
        searcher.data_centre,
        node.name,
        node.identity.incarnation,
    )
