"""A lossy network between virtual hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Final, TypeAlias

from snipejunction.bench.schedule import Schedule
from snipejunction.helpers.wire import decode, encode

Deliver: TypeAlias = Callable[[str, Any], None]

DEFAULT_JITTER: Final = 0.1


class Place:
    """Location of a host: data centre and region."""

    __slots__ = ('data_centre', 'region')

    def __init__(self, data_centre: str, region: str) -> None:
        """Create a location."""
        self.data_centre = data_centre
        self.region = region


class Delays:
    """One-way delays in seconds.

    ``jitter`` is the largest random addition, as a share of the delay.
    """

    __slots__ = ('client', 'data_centre', 'jitter', 'region')

    def __init__(
        self,
        data_centre: float = 0.0005,
        region: float = 0.008,
        client: float = 0.003,
        jitter: float = DEFAULT_JITTER,
    ) -> None:
        """Create the delays within and between regions and to clients."""
        self.data_centre = data_centre
        self.region = region
        self.client = client
        self.jitter = jitter

    def between(
        self,
        sender: Place,
        receiver: Place,
        random: Random,
    ) -> float:
        """Return the delay of one message between two locations."""
        base = self.region
        if sender.region == receiver.region:
            base = self.data_centre
        return base * (1 + self.jitter * random.random())


class Network:
    """Delivers encoded messages; counts them and their bytes by type.

    A cut applies to one direction. ``doubling`` is the share of messages
    delivered twice, ``reordering`` the share delayed by up to ``late``
    seconds more.
    """

    __slots__ = (
        '_cuts',
        '_delays',
        '_places',
        '_random',
        '_receivers',
        '_schedule',
        'doubling',
        'late',
        'loss',
        'message_bytes',
        'message_counts',
        'reordering',
        'sent_bytes',
    )

    def __init__(
        self,
        schedule: Schedule,
        delays: Delays,
        random: Random,
    ) -> None:
        """Create a network without loss, duplication and reordering."""
        self._schedule = schedule
        self._delays = delays
        self._random = random
        self._places: dict[str, Place] = {}
        self._receivers: dict[str, Deliver] = {}
        self._cuts: set[tuple[str, str]] = set()
        self.doubling = 0.0
        self.reordering = 0.0
        self.loss = 0.0
        self.late = 0.05
        self.message_counts: Counter[str] = Counter()
        self.message_bytes: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()

    @property
    def delays(self) -> Delays:
        """Return the delays of the links."""
        return self._delays

    def place_of(self, name: str) -> Place:
        """Return the location of a host."""
        return self._places[name]

    def attach(self, name: str, place: Place, deliver: Deliver) -> None:
        """Add a host or replace its location and delivery function."""
        self._places[name] = place
        self._receivers[name] = deliver

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all messages from one host to another."""
        self._cuts.add((sender, receiver))

    def heal(self, sender: str, receiver: str) -> None:
        """Undo a cut."""
        self._cuts.discard((sender, receiver))

    def heal_all(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def isolate(self, name: str) -> None:
        """Cut a host from all others, in both directions."""
        for other in self._places:
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def rejoin(self, name: str) -> None:
        """Undo all cuts of a host."""
        self._cuts = {pair for pair in self._cuts if name not in pair}

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether messages in this direction are dropped."""
        return (sender, receiver) in self._cuts

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Send a message, which may be lost, duplicated or reordered."""
        frame = encode(message)
        message_type = type(message).__name__
        self.message_counts[message_type] += 1
        self.message_bytes[message_type] += len(frame)
        self.sent_bytes[sender] += len(frame)
        if receiver not in self._receivers:
            return
        if self._random.random() < self.loss:
            return
        self._schedule_delivery(sender, receiver, frame)
        if self._random.random() < self.doubling:
            self._schedule_delivery(sender, receiver, frame)

    def _schedule_delivery(
        self,
        sender: str,
        receiver: str,
        frame: bytes,
    ) -> None:
        delay = self._delays.between(
            self._places[sender],
            self._places[receiver],
            self._random,
        )
        if self._random.random() < self.reordering:
            delay += self.late * self._random.random()
        self._schedule.after(
            delay,
            lambda: self._deliver(sender, receiver, frame),
        )

    def _deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        if (sender, receiver) in self._cuts:
            return
        message = decode(frame)
        message.sender = sender
        self._receivers[receiver](sender, message)
