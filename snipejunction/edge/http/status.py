"""Health checks and the status document of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from aiohttp import web

from snipejunction.components.consensus.systems.status import (
    VoterStatus,
    voter_status,
)
from snipejunction.components.control.lifecycle import Phase
from snipejunction.edge.http.keys import HOST
from snipejunction.edge.http.replies import reply

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

_READY: Final = 200
_UNAVAILABLE: Final = 503


async def async_healthz(request: web.Request) -> web.Response:
    """Respond to show that the event loop is running."""
    return reply(request.app[HOST], {'alive': True})


async def async_readyz(request: web.Request) -> web.Response:
    """Return whether this host accepts new work."""
    host = request.app[HOST]
    is_ready = _is_ready(host)
    phase = host.node.lifecycle.phase.value
    status = _READY if is_ready else _UNAVAILABLE
    return reply(host, {'ready': is_ready, 'phase': phase}, status)


def status_document(host: HostRuntime) -> dict[str, Any]:
    """Return the state of a host as JSON; times are in seconds."""
    node = host.node
    now = host.now()
    view = node.view.current
    status = voter_status(node)
    return {
        'name': node.name,
        'incarnation': node.identity.incarnation,
        'phase': node.lifecycle.phase.value,
        'lease_remaining': round(node.lease.remaining(now), 3),
        'settings_revision': node.settings.revision,
        'view_revision': view.revision,
        'view_settled': node.view.settled,
        'open_calls': host.calls.open_calls,
        'peers': sorted(host.peers.connected),
        'voter_id': status.voter_id,
        'hosts': [
            {
                'name': entry.name,
                'ip': entry.ip,
                'port': entry.http_port,
                'data_centre': entry.data_centre,
                'region': entry.region,
                'state': entry.state,
            }
            for entry in sorted(view.hosts.values(), key=_entry_name)
        ],
        'replicas': _replica_documents(status),
    }


def _entry_name(entry: Any) -> str:
    return str(entry.name)


def _is_ready(host: HostRuntime) -> bool:
    node = host.node
    if node.lifecycle.phase is not Phase.SERVING:
        return False
    return node.lease.is_held(host.now())


def _replica_documents(status: VoterStatus) -> list[dict[str, Any]]:
    return [
        {
            'group': group.group,
            'is_leader': group.is_leader,
            'leader': group.leader_name,
            'term': group.term,
            'committed': group.commit_index,
            'applied': group.applied_index,
            'members': [
                {
                    'name': member.name,
                    'voter_id': member.voter_id,
                    'is_voter': member.is_voter,
                }
                for member in group.members
            ],
        }
        for group in status.groups
    ]
