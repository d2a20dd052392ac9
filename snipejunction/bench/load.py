"""Searches of callers that keep addresses and go elsewhere when refused."""

from __future__ import annotations

from random import Random
from typing import Any, Final

from snipejunction.bench.policies.policy import ServingPolicy
from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.root.messages import (
    SearchRequest,
    SearchResponse,
)
from snipejunction.const import CODE_NO_LEASE, CODE_STOPPING
from snipejunction.helpers.records import Record
from snipejunction.proof.callers import AddressBook

SEED_BITS: Final = 64
TOP_HITS: Final = 1000
PATIENCE_SECONDS: Final = 0.5
ATTEMPTS: Final = 3
# The codes after which a caller tries another address.
ELSEWHERE_CODES: Final = frozenset((CODE_NO_LEASE, CODE_STOPPING))


class LoadLine(Record):
    """One caller's searches: a rate a second from one time to another."""

    __slots__ = (
        'begin',
        'caller',
        'deadline',
        'end',
        'is_measured',
        'rate',
        'region',
        'service',
    )

    def __init__(
        self,
        caller: str,
        service: str,
        region: str,
        rate: float,
        begin: float,
        end: float,
        deadline: float,
        *,
        is_measured: bool = True,
    ) -> None:
        """Create a line; the deadline of each search is in seconds."""
        self.caller = caller
        self.service = service
        self.region = region
        self.rate = rate
        self.begin = begin
        self.end = end
        self.deadline = deadline
        self.is_measured = is_measured


class LoadFlow:
    """Sends the searches of a line at random times."""

    __slots__ = ('_book', '_count', '_line', '_policy', '_random', '_run')

    def __init__(
        self,
        run: VirtualRun,
        line: LoadLine,
        policy: ServingPolicy,
    ) -> None:
        """Create the flow of a line."""
        self._run = run
        self._line = line
        self._policy = policy
        self._random = Random(run.random.getrandbits(SEED_BITS))
        self._book = AddressBook(run, self._random, line.caller, line.region)
        self._count = 0

    def begin(self) -> None:
        """Schedule the first search."""
        first = self._random.random() / self._line.rate
        self._run.schedule.at(self._line.begin + first, self._next)

    def _next(self) -> None:
        if self._run.now >= self._line.end:
            return
        self._count += 1
        request_id = f'{self._line.caller}-{self._line.service}-{self._count}'
        search = _Search(
            self._run,
            self._line,
            self._policy,
            self._book,
            request_id,
        )
        search.send()
        pause = self._random.expovariate(self._line.rate)
        self._run.schedule.after(pause, self._next)


class _Search:
    """One search of a caller, sent elsewhere if a host takes no work."""

    __slots__ = (
        '_attempt',
        '_book',
        '_is_over',
        '_line',
        '_policy',
        '_run',
        '_words',
    )

    def __init__(
        self,
        run: VirtualRun,
        line: LoadLine,
        policy: ServingPolicy,
        book: AddressBook,
        request_id: str,
    ) -> None:
        self._run = run
        self._line = line
        self._policy = policy
        self._book = book
        self._attempt = 0
        self._is_over = False
        self._words: dict[str, Any] = {
            'request_id': request_id,
            'caller': line.caller,
            'service': line.service,
            'asked': run.now,
        }

    def send(self) -> None:
        """Send the search and wait for its answer."""
        self._run.recorder.record(self._run.now, 'search', **self._words)
        self._run.schedule.after(
            self._line.deadline + PATIENCE_SECONDS,
            lambda: self._finish('search_lost', None),
        )
        self._try()

    def _try(self) -> None:
        self._attempt += 1
        host = self._book.choose()
        if host is None:
            return
        delay = self._run.network.delays.client
        self._run.schedule.after(delay, lambda: self._arrive(host))

    def _arrive(self, host: VirtualHost) -> None:
        if not host.is_alive:
            self._go_elsewhere(host)
            return
        spent = self._run.now - float(self._words['asked'])
        asked = SearchRequest(
            0,
            self._words['request_id'],
            self._line.caller,
            self._line.service,
            b'{}',
            self._line.deadline - spent - self._run.network.delays.client,
            1,
            TOP_HITS,
            '',
        )
        self._policy.search(
            host,
            asked,
            lambda answered: self._answer(host, answered),
        )

    def _answer(self, host: VirtualHost, answered: SearchResponse) -> None:
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._take(host, answered),
        )

    def _take(self, host: VirtualHost, answered: SearchResponse) -> None:
        refusal = answered.refusal
        if refusal is not None and refusal.code in ELSEWHERE_CODES:
            if self._attempt < ATTEMPTS:
                self._go_elsewhere(host)
                return
        self._finish('search_answered', answered)

    def _go_elsewhere(self, host: VirtualHost) -> None:
        self._book.drop(host.name)
        delay = self._run.network.delays.client
        self._run.schedule.after(delay, self._try)

    def _finish(self, kind: str, answered: SearchResponse | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._run.recorder.record(
            self._run.now,
            kind,
            answer=answered.answer if answered else None,
            refusal=answered.refusal if answered else None,
            is_measured=self._line.is_measured,
            **self._words,
        )
