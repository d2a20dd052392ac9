"""Requests of upstreams: announce, renew and leave."""

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
    """Take an announcement; answer a leaving one once it is true."""
    host = request.app[HOST]
    fields = await bodies.async_read_json(request, bodies.ANNOUNCEMENT)
    announcement = announcement_from(fields)
    require_upstream(host, request, announcement.service)
    answered: AnnounceResponse = await host.calls.async_ask(
        lambda number: AnnounceRequest(number, announcement),
    )
    if answered.refusal is not None:
        return reply_refusal(host, answered.refusal)
    return reply(host, {'renew_after': answered.renew_after})


def announcement_from(fields: dict[str, Any]) -> Announcement:
    """Return the announcement in checked fields.

    Raises:
        RefusedError: if fields do not fit together.
    """
    _check_ip(fields['ip'])
    facts = dict(fields)
    facts['snapshots'] = tuple(
        _snapshot_from(place, entry)
        for place, entry in enumerate(fields['snapshots'])
    )
    return Announcement(**facts)


def _check_ip(ip: str) -> None:
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        bodies.refuse_field('ip', 'must be an IP number, no host name')


def _snapshot_from(place: int, entry: dict[str, Any]) -> SnapshotEntry:
    documents = tuple(entry['documents'])
    shards = tuple(sorted(set(entry['shards'])))
    if shards and shards[-1] >= len(documents):
        bodies.refuse_field(
            f'snapshots.{place}.shards',
            f'must be below {len(documents)}, the number of documents',
        )
    snapshot = SnapshotId(entry['version'], entry['layout'])
    return SnapshotEntry(snapshot, shards, documents)
