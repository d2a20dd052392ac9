"""Virtual callers: they ask for addresses, search and run requests."""

from __future__ import annotations

from random import Random
from typing import Any, Final

from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.control.systems.addresses import rank_addresses
from snipejunction.components.journal.messages import RunRequest, RunResponse
from snipejunction.components.root.messages import (
    SearchRequest,
    SearchResponse,
)
from snipejunction.const import CODE_NO_LEASE, CODE_STOPPING
from snipejunction.proof.script import FlowLine

# A caller without an answer gives up this long after its deadline.
PATIENCE_SECONDS: Final = 2.0
ADDRESS_RETRY_SECONDS: Final = 0.2
SEED_BITS: Final = 64
DEFAULT_TOP: Final = 1000
RUN_ATTEMPTS: Final = 4
DEFAULT_DEADLINE_SECONDS: Final = 0.5
# Refusals after which a caller uses another of its addresses.
_CODES_OF_THE_HOST: Final = frozenset((CODE_NO_LEASE, CODE_STOPPING))


class AddressBook:
    """The addresses that a caller keeps for as long as it may."""

    __slots__ = ('_caller', '_names', '_random', '_region', '_run', '_until')

    def __init__(
        self,
        run: VirtualRun,
        random: Random,
        caller: str,
        region: str,
    ) -> None:
        """Create an empty book of a caller in a region."""
        self._run = run
        self._random = random
        self._caller = caller
        self._region = region
        self._names: list[str] = []
        self._until = 0.0

    def choose(self) -> VirtualHost | None:
        """Return the host to use now; ask any host when the book is old."""
        now = self._run.now
        if now >= self._until or not self._names:
            self._renew(now)
        if not self._names:
            return None
        return self._run.host(self._names[0])

    def drop(self, name: str) -> None:
        """Use a host no longer: it refused a connection."""
        if name in self._names:
            self._names.remove(name)

    def _renew(self, now: float) -> None:
        alive = [host for host in self._run.hosts.values() if host.is_alive]
        self._names = []
        if not alive:
            return
        host = self._random.choice(alive)
        answer = rank_addresses(
            host.core.node,
            self._caller,
            self._region,
            host.now,
        )
        ports = {
            other.settings.identity.http_port: other.name
            for other in self._run.hosts.values()
        }
        self._names = [ports[port] for _, port in answer.addresses]
        self._until = now + answer.keep_seconds


class Flow:
    """Requests of one caller to one service at random times."""

    __slots__ = ('_book', '_count', '_line', '_random', '_run', '_until')

    def __init__(self, run: VirtualRun, line: FlowLine, region: str) -> None:
        """Create a flow; its options give rate, from, to and deadline."""
        self._run = run
        self._line = line
        self._random = Random(run.random.getrandbits(SEED_BITS))
        self._book = AddressBook(run, self._random, line.caller, region)
        self._until = float(line.options['to'])
        self._count = 0

    @property
    def deadline(self) -> float:
        """Return the deadline of each request in seconds."""
        asked = self._line.options.get('deadline', DEFAULT_DEADLINE_SECONDS)
        return float(asked)

    def begin(self) -> None:
        """Schedule the first request."""
        start = float(self._line.options['from'])
        self._run.schedule.at(start, self._next)

    def _next(self) -> None:
        if self._run.now >= self._until:
            return
        self._count += 1
        line = self._line
        self._send(f'{line.caller}-{line.kind}-{self._count}')
        rate = float(self._line.options['rate'])
        pause = self._random.expovariate(rate)
        self._run.schedule.after(pause, self._next)

    def _send(self, request_id: str) -> None:
        host = self._book.choose()
        if host is None:
            self._run.recorder.record(
                self._run.now,
                'no_address',
                caller=self._line.caller,
            )
            return
        if self._line.kind == 'runs':
            _RunAttempt(self._run, self._line, self._book, request_id).send()
            return
        search = _Search(self._run, self._line, host, request_id, self._book)
        search.send(self.deadline)


class _Search:
    """One search and its answer."""

    __slots__ = ('_book', '_host', '_is_over', '_line', '_run', '_words')

    def __init__(
        self,
        run: VirtualRun,
        line: FlowLine,
        host: VirtualHost,
        request_id: str,
        book: AddressBook,
    ) -> None:
        self._run = run
        self._line = line
        self._host = host
        self._book = book
        self._is_over = False
        self._words: dict[str, Any] = {
            'request_id': request_id,
            'caller': line.caller,
            'service': line.service,
            'host': host.name,
            'asked': run.now,
        }

    def send(self, deadline: float) -> None:
        """Send the search over the delay to clients."""
        self._run.recorder.record(self._run.now, 'search', **self._words)
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._arrive(deadline),
        )
        self._run.schedule.after(deadline + PATIENCE_SECONDS, self._give_up)

    def _arrive(self, deadline: float) -> None:
        if not self._host.is_alive:
            self._book.drop(self._host.name)
            self._finish('connection_refused')
            return
        message = SearchRequest(
            0,
            self._words['request_id'],
            self._line.caller,
            self._line.service,
            b'{}',
            deadline,
            float(self._line.options.get('coverage', 1)),
            DEFAULT_TOP,
            '',
        )
        self._host.call(message, self._take)

    def _take(self, answered: SearchResponse) -> None:
        refusal = answered.refusal
        if refusal is not None and refusal.code in _CODES_OF_THE_HOST:
            self._book.drop(self._host.name)
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._finish('search_answered', answered),
        )

    def _give_up(self) -> None:
        if not self._is_over:
            self._book.drop(self._host.name)
        self._finish('search_lost')

    def _finish(
        self,
        kind: str,
        answered: SearchResponse | None = None,
    ) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._run.recorder.record(
            self._run.now,
            kind,
            answer=answered.answer if answered else None,
            refusal=answered.refusal if answered else None,
            **self._words,
        )


class _RunAttempt:
    """One non-idempotent request, sent again when its answer is lost."""

    __slots__ = (
        '_attempt',
        '_book',
        '_host',
        '_line',
        '_request_id',
        '_run',
        '_serial',
    )

    def __init__(
        self,
        run: VirtualRun,
        line: FlowLine,
        book: AddressBook,
        request_id: str,
    ) -> None:
        self._run = run
        self._line = line
        self._book = book
        self._request_id = request_id
        self._attempt = 0
        self._serial = 0
        self._host: VirtualHost | None = None

    def send(self) -> None:
        """Send the request to the host that the book names."""
        self._attempt += 1
        self._serial += 1
        serial = self._serial
        if self._attempt > RUN_ATTEMPTS:
            return
        self._host = self._book.choose()
        deadline = float(
            self._line.options.get('deadline', DEFAULT_DEADLINE_SECONDS),
        )
        self._record('run', None)
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._arrive(deadline, serial),
        )
        self._run.schedule.after(
            deadline + PATIENCE_SECONDS,
            lambda: self._resend(serial),
        )

    def _arrive(self, deadline: float, serial: int) -> None:
        if self._host is None or not self._host.is_alive:
            self._resend(serial)
            return
        message = RunRequest(
            0,
            self._request_id,
            self._line.caller,
            self._line.service,
            self._request_id,
            self._request_id.encode(),
            deadline,
            '',
        )
        self._host.call(message, lambda answer: self._take(answer, serial))

    def _take(self, answered: RunResponse, serial: int) -> None:
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._finish(answered, serial),
        )

    def _finish(self, answered: RunResponse, serial: int) -> None:
        if serial != self._serial:
            return
        self._record('run_answered', answered)
        is_lossy = bool(self._line.options.get('resend', 0))
        refusal = answered.refusal
        if refusal is not None and refusal.verdict.may_retry:
            self._resend(serial)
        elif is_lossy and self._attempt < 2:
            self._resend(serial)
        else:
            self._serial += 1

    def _resend(self, serial: int) -> None:
        if serial != self._serial:
            return
        self._serial += 1
        if self._host is not None:
            self._book.drop(self._host.name)
        self._run.schedule.after(ADDRESS_RETRY_SECONDS, self.send)

    def _record(self, kind: str, answered: RunResponse | None) -> None:
        self._run.recorder.record(
            self._run.now,
            kind,
            request_id=self._request_id,
            caller=self._line.caller,
            service=self._line.service,
            host=self._host.name if self._host else '',
            payload=answered.payload if answered else b'',
            refusal=answered.refusal if answered else None,
        )
