"""Tables of the directory component."""

from __future__ import annotations

from snipejunction.components.directory.publication import Publication
from snipejunction.components.directory.registrar import RegistrarCache
from snipejunction.components.directory.registry import Registry
from snipejunction.components.directory.subscription import Subscription


class DirectoryTable:
    """State of the directory component, by service.

    A host publishes the searchers that it owns, keeps registries for the
    services of which it is a registrar, and subscribes to the services that
    its callers use. ``last_sequence`` is the highest sequence of a removed
    publication.
    """

    __slots__ = (
        'last_sequence',
        'publications',
        'registrars',
        'registries',
        'subscriptions',
    )

    def __init__(self) -> None:
        """Create empty tables."""
        self.publications: dict[str, Publication] = {}
        self.last_sequence = 0
        self.registrars = RegistrarCache()
        self.registries: dict[str, Registry] = {}
        self.subscriptions: dict[str, Subscription] = {}
