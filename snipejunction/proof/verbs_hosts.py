"""Verbs that act on hosts and the network between them."""

from __future__ import annotations

from snipejunction.proof.stage import Stage


def kill(stage: Stage, host: str) -> None:
    """End the process of a host at once."""
    stage.run.host(host).kill()


def start(stage: Stage, host: str) -> None:
    """Start a host that does not run."""
    if not stage.run.host(host).is_alive:
        stage.run.start_host(host)


def restart(stage: Stage, host: str) -> None:
    """Kill a host and start it again."""
    kill(stage, host)
    start(stage, host)


def wipe(stage: Stage, host: str) -> None:
    """Kill a host and empty its disk."""
    kill(stage, host)
    stage.run.wipe_disk(host)


def stop(stage: Stage, host: str) -> None:
    """Ask a host for a planned stop."""
    if stage.run.host(host).is_alive:
        stage.run.host(host).stop()


def freeze(stage: Stage, host: str, seconds: float) -> None:
    """Let a host run nothing for some seconds."""
    stage.run.host(host).freeze(seconds)


def isolate(stage: Stage, host: str) -> None:
    """Cut a host off in silence."""
    stage.run.isolate(host)


def rejoin(stage: Stage, host: str) -> None:
    """Undo all cuts of a host."""
    stage.run.network.rejoin(host)


def cut(stage: Stage, sender: str, receiver: str) -> None:
    """Lose all messages of one direction."""
    stage.run.network.cut(sender, receiver)


def heal(stage: Stage, sender: str, receiver: str) -> None:
    """Undo the cut of one direction."""
    stage.run.network.heal(sender, receiver)


def part(stage: Stage, region: str) -> None:
    """Cut the hosts of a region from all others."""
    inside = _hosts_in(stage, region)
    for name in stage.run.hosts:
        if name in inside:
            continue
        for member in inside:
            stage.run.network.cut(name, member)
            stage.run.network.cut(member, name)


def join(stage: Stage) -> None:
    """Undo all cuts."""
    stage.run.network.heal_all()


def double(stage: Stage, share: float) -> None:
    """Let a share of the messages come twice."""
    stage.run.network.doubling = share


def reorder(stage: Stage, share: float) -> None:
    """Let a share of the messages come late."""
    stage.run.network.reordering = share


def lose_messages(stage: Stage, share: float) -> None:
    """Lose a share of the messages."""
    stage.run.network.loss = share


def _hosts_in(stage: Stage, region: str) -> list[str]:
    return [
        name
        for name, host in stage.run.hosts.items()
        if host.settings.identity.region == region
    ]
