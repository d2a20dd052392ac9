"""Verbs that act on searchers and their snapshots."""

from __future__ import annotations

from snipejunction.proof.stage import Stage
from snipejunction.timers import NEVER


def silence(stage: Stage, host: str) -> None:
    """Let all open connections of a host to searchers go silent."""
    for place in list(stage.run.connections):
        if place[0] == host:
            stage.run.host(host).silent_connections.add(place[1])


def slow(stage: Stage, searcher: str, factor: float) -> None:
    """Make a searcher slower by a factor."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.slowness = factor


def slow_service(stage: Stage, service: str, factor: float) -> None:
    """Make all searchers of a service slower."""
    for searcher in stage.services[service].searchers:
        slow(stage, searcher, factor)


def cold(stage: Stage, searcher: str) -> None:
    """Restart a searcher without warning."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.turn_cold()


def cold_place(stage: Stage, data_centre: str) -> None:
    """Restart all searchers of a data centre."""
    for upstream in stage.run.upstreams.values():
        if upstream.data_centre == data_centre:
            upstream.turn_cold()


def shed(stage: Stage, searcher: str) -> None:
    """Let a searcher shed all requests."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.is_shedding = True


def unshed(stage: Stage, searcher: str) -> None:
    """Let a searcher take requests again."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.is_shedding = False


def limit(stage: Stage, searcher: str, rate: float) -> None:
    """Let a searcher state a limit in requests per second."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.stated_rate.replace(rate)


def unlimit(stage: Stage, searcher: str) -> None:
    """Let a searcher state no limit."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.stated_rate.replace(NEVER)


def lose(stage: Stage, searcher: str) -> None:
    """Let a searcher die without a word."""
    stage.run.lose_upstream(searcher)


def leave(stage: Stage, searcher: str) -> None:
    """Let a searcher announce that it leaves."""
    upstream = stage.run.upstream(searcher)
    if upstream is not None:
        upstream.leave()
        stage.run.announce(searcher)


def roll(stage: Stage, service: str) -> None:
    """Give a service a newer snapshot."""
    stage.roll(stage.services[service])


def repartition(stage: Stage, service: str, shards: float) -> None:
    """Give a service another number of shards."""
    stage.repartition(stage.services[service], int(shards))
