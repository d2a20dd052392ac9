"""Interface of a serving policy and the policy of the program itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.root.messages import (
    SearchResponse,
    SearchRequest,
)

SearchCallback: TypeAlias = Callable[[SearchResponse], None]


class ServingPolicy(Protocol):
    """Serves the searches that callers send to hosts."""

    @property
    def name(self) -> str:
        """Return the name of the policy in reports."""

    def search(
        self,
        host: VirtualHost,
        request: SearchRequest,
        on_answer: SearchCallback,
    ) -> None:
        """Serve a search on a host; call ``on_answer`` exactly once."""


class CoordinatedPolicy:
    """Serves searches with the roots, owners and budgets of the program."""

    __slots__ = ()

    @property
    def name(self) -> str:
        """Return the name of the policy in reports."""
        return 'snipejunction'

    def search(
        self,
        host: VirtualHost,
        request: SearchRequest,
        on_answer: SearchCallback,
    ) -> None:
        """Pass the search to the core of the host."""
        host.call(request, on_answer)
