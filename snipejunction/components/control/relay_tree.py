"""The relay tree by which settings are distributed to hosts."""

from __future__ import annotations

from collections.abc import Iterable

from snipejunction.components.control.const import FEED_FANOUT


def find_parent(
    name: str,
    hosts: Iterable[str],
    voters: Iterable[str],
) -> str | None:
    """Return the parent of a host, None for roots and unknown hosts.

    The voters of the view are the roots; each host has up to ``FEED_FANOUT``
    children, assigned in the order of their names.
    """
    members = set(hosts)
    roots = sorted(members.intersection(voters))
    if name in roots or name not in members or not roots:
        return None
    others = sorted(members.difference(roots))
    order = roots + others
    return order[others.index(name) // FEED_FANOUT]
