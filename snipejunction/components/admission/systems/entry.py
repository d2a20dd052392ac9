"""Checks on every request of a caller before it is admitted."""

from __future__ import annotations

from snipejunction.components.control.service_settings import ServiceSettings
from snipejunction.const import (
    CODE_FORBIDDEN,
    CODE_NO_LEASE,
    CODE_UNKNOWN_SERVICE,
)
from snipejunction.node import Node
from snipejunction.verdict import Refusal, not_run_refusal


def entry_refusal(
    node: Node,
    caller: str,
    name: str,
    service: ServiceSettings | None,
    now: float,
) -> Refusal | None:
    """Return the refusal of a request to the service ``name``.

    Return None if the request passes these checks.
    """
    if not node.lease.is_held(now):
        detail = 'this host may take no work now; ask another address'
        return not_run_refusal(CODE_NO_LEASE, detail)
    if service is None:
        return not_run_refusal(CODE_UNKNOWN_SERVICE, f'no service {name}', -1)
    if caller not in service.callers:
        detail = f'{caller} may not call {name}'
        return not_run_refusal(CODE_FORBIDDEN, detail, -1)
    return None
