"""HTTP handler of upstreams: announce, renew and leave."""

from __future__ import annotations

import ipaddress
from typing import Any

from aiohttp import web

from snipejunction.components.owner.messages import (
    AnnounceResponse,
    AnnounceRequest,
    Announcement,
    SnapshotEntry,
    SnapshotId,
)
from snipejunction.edge.http import bodies
from snipejunction.edge.http.access import require_upstream
from snipejunction.edge.http.keys import HOST
from snipejunction.edge.http.replies import reply, reply_refusal


async def async_announce(request: web.Request) -> web.Response:
    """Process an announcement; respond to a leave once it is complete."""
    host = request.app[HOST]
    fields = await bodies.async_read_json(request, bodies.ANNOUNCEMENT)
    announcement = parse_announcement(fields)
    require_upstream(host, request, announcement.service)
    answered: AnnounceResponse = await host.calls.async_call(
        lambda call_id: AnnounceRequest(call_id, announcement),
    )
    if answered.refusal is not None:
        return reply_refusal(host, answered.refusal)
    return reply(host, {'renew_after': answered.renew_after})


def parse_announcement(fields: dict[str, Any]) -> Announcement:
    """Build an announcement from validated fields.

    Raises:
        RefusedError: if the IP address or the shards are invalid.
    """
    _check_ip(fields['ip'])
    arguments = dict(fields)
    arguments['snapshots'] = tuple(
        _parse_snapshot_entry(position, entry)
        for position, entry in enumerate(fields['snapshots'])
    )
    return Announcement(**arguments)


def _check_ip(ip: str) -> None:
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        bodies.refuse_field('ip', 'must be an IP number, no host name')


def _parse_snapshot_entry(
    position: int, entry: dict[str, Any]
) -> SnapshotEntry:
    documents = tuple(entry['documents'])
    shards = tuple(sorted(set(entry['shards'])))
    if shards and shards[-1] >= len(documents):
        bodies.refuse_field(
            f'snapshots.{position}.shards',
            f'must be below {len(documents)}, the number of documents',
        )
    snapshot = SnapshotId(entry['version'], entry['layout'])
    return SnapshotEntry(snapshot, shards, documents)
