"""Properties of upstream requests by type of work."""

from __future__ import annotations

from functools import singledispatch
from typing import TypeAlias

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.components.owner.work import OnceWork, SubWork, Work

# The snapshot, the shards and the request id, which is empty for a search.
UpstreamRequest: TypeAlias = tuple[SnapshotId | None, list[int], str]


@singledispatch
def upstream_request(work: Work) -> UpstreamRequest:
    """Return the parts of the request that depend on the type of work.

    Raises:
        TypeError: for work of an unknown type.
    """
    raise TypeError(
        f'no upstream request for work of type {type(work).__name__}'
    )


@upstream_request.register
def _sub_request(work: SubWork) -> UpstreamRequest:
    return work.snapshot, work.shards, ''


@upstream_request.register
def _once_request(work: OnceWork) -> UpstreamRequest:
    return None, [], work.request_id


@singledispatch
def may_repeat(work: Work) -> bool:
    """Return whether the work is idempotent.

    Raises:
        TypeError: for work of an unknown type.
    """
    raise TypeError(f'unknown work type {type(work).__name__}')


@may_repeat.register
def _may_repeat_sub(work: SubWork) -> bool:
    return True


@may_repeat.register
def _may_repeat_once(work: OnceWork) -> bool:
    return False
