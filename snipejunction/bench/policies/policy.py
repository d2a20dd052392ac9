"""The interface of a way to serve searches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.root.messages import (
    SearchRequest,
    SearchResponse,
)

OnAnswered: TypeAlias = Callable[[SearchResponse], None]


class ServingPolicy(Protocol):
    """Serves the searches that arrive at hosts."""

    @property
    def name(self) -> str:
        """Return the name in reports."""

    def search(
        self,
        host: VirtualHost,
        asked: SearchRequest,
        on_answered: OnAnswered,
    ) -> None:
        """Serve a search that arrived at a host; answer it once."""


class CoordinatedPolicy:
    """The systems of the program: roots, owners and their budgets."""

    __slots__ = ()

    @property
    def name(self) -> str:
        """Return the name in reports."""
        return 'snipejunction'

    def search(
        self,
        host: VirtualHost,
        asked: SearchRequest,
        on_answered: OnAnswered,
    ) -> None:
        """Hand the search to the core of the host."""
        host.call(asked, on_answered)
