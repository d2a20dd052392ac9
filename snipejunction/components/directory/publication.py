"""Publication state of an owner for a service."""

from __future__ import annotations

from snipejunction.components.directory.messages import RouteEntry
from snipejunction.components.directory.registrar import Registrar


class PublicationTarget:
    """Registrar that receives a publication.

    ``sequence`` is that of the last message to it. ``needs_full_table`` is
    set until the next message, which has all entries.
    """

    __slots__ = ('needs_full_table', 'registrar', 'sequence')

    def __init__(self, registrar: Registrar, sequence: int) -> None:
        """Create a target that has no entries yet."""
        self.registrar = registrar
        self.sequence = sequence
        self.needs_full_table = True


class Publication:
    """Entries of a service as last published to its registrars.

    Times are monotonic seconds. ``published`` and ``changed_keys`` use the
    keys of the owner's table.
    """

    __slots__ = (
        'changed_keys',
        'is_load_publish_scheduled',
        'is_publish_queued',
        'load_published_at',
        'published',
        'sent_at',
        'sequence',
        'service',
        'targets',
    )

    def __init__(self, service: str, sequence: int) -> None:
        """Create a publication whose messages start after ``sequence``."""
        self.service = service
        self.targets: list[PublicationTarget] = []
        self.sequence = sequence
        self.sent_at = 0.0
        self.is_publish_queued = False
        self.is_load_publish_scheduled = False
        self.changed_keys: set[str] = set()
        self.published: dict[str, RouteEntry] = {}
        self.load_published_at = 0.0

    @property
    def needs_full_table(self) -> bool:
        """Return whether a registrar needs all entries."""
        return any(target.needs_full_table for target in self.targets)

    def set_registrars(self, registrars: tuple[Registrar, ...]) -> None:
        """Set the registrars to publish to.

        New targets continue the highest sequence, so that a registrar that
        returns does not ignore their messages as old ones.
        """
        known = {target.registrar: target for target in self.targets}
        self.targets = [
            known.get(registrar) or PublicationTarget(registrar, self.sequence)
            for registrar in registrars
        ]

    def next_sequence(self, target: PublicationTarget) -> int:
        """Return the sequence of the next message to a target."""
        target.sequence += 1
        self.sequence = max(self.sequence, target.sequence)
        return target.sequence
