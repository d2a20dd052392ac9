"""Load generator: callers that retry refused searches on other hosts."""

from __future__ import annotations

from random import Random
from typing import Any, Final

from snipejunction.bench.policies.policy import ServingPolicy
from snipejunction.bench.virtual import VirtualRun
from snipejunction.bench.virtual_host import VirtualHost
from snipejunction.components.root.messages import (
    SearchResponse,
    SearchRequest,
)
from snipejunction.const import CODE_NO_LEASE, CODE_STOPPING
from snipejunction.helpers.records import Record
from snipejunction.proof.callers import AddressBook

SEED_BITS: Final = 64
TOP_HITS: Final = 1000
ANSWER_GRACE_SECONDS: Final = 0.5
MAX_ATTEMPTS: Final = 3
# Refusal codes after which a caller tries another host.
OTHER_HOST_CODES: Final = frozenset((CODE_NO_LEASE, CODE_STOPPING))


class LoadProfile(Record):
    """The load of one caller: ``rate`` searches per second for a period.

    ``begin``, ``end`` and ``deadline`` are in seconds.
    """

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
        """Create a profile; each search gets ``deadline``."""
        self.caller = caller
        self.service = service
        self.region = region
        self.rate = rate
        self.begin = begin
        self.end = end
        self.deadline = deadline
        self.is_measured = is_measured


class LoadGenerator:
    """Sends the searches of a profile with exponential intervals."""

    __slots__ = (
        '_addresses',
        '_policy',
        '_profile',
        '_random',
        '_run',
        '_search_count',
    )

    def __init__(
        self,
        run: VirtualRun,
        profile: LoadProfile,
        policy: ServingPolicy,
    ) -> None:
        """Create a generator with its own random generator."""
        self._run = run
        self._profile = profile
        self._policy = policy
        self._random = Random(run.random.getrandbits(SEED_BITS))
        self._addresses = AddressBook(
            run,
            self._random,
            profile.caller,
            profile.region,
        )
        self._search_count = 0

    def begin(self) -> None:
        """Schedule the first search."""
        first = self._random.random() / self._profile.rate
        self._run.schedule.at(self._profile.begin + first, self._send_next)

    def _send_next(self) -> None:
        if self._run.now >= self._profile.end:
            return
        self._search_count += 1
        request_id = (
            f'{self._profile.caller}-{self._profile.service}'
            f'-{self._search_count}'
        )
        search = _Search(
            self._run,
            self._profile,
            self._policy,
            self._addresses,
            request_id,
        )
        search.send()
        interval = self._random.expovariate(self._profile.rate)
        self._run.schedule.after(interval, self._send_next)


class _Search:
    """A search of a caller, retried on other hosts if refused."""

    __slots__ = (
        '_addresses',
        '_attempt_count',
        '_fields',
        '_is_finished',
        '_policy',
        '_profile',
        '_run',
    )

    def __init__(
        self,
        run: VirtualRun,
        profile: LoadProfile,
        policy: ServingPolicy,
        addresses: AddressBook,
        request_id: str,
    ) -> None:
        self._run = run
        self._profile = profile
        self._policy = policy
        self._addresses = addresses
        self._attempt_count = 0
        self._is_finished = False
        self._fields: dict[str, Any] = {
            'request_id': request_id,
            'caller': profile.caller,
            'service': profile.service,
            'asked': run.now,
        }

    def send(self) -> None:
        """Send the search and schedule its loss."""
        self._run.recorder.record(self._run.now, 'search', **self._fields)
        self._run.schedule.after(
            self._profile.deadline + ANSWER_GRACE_SECONDS,
            lambda: self._record_end('search_lost', None),
        )
        self._send_attempt()

    def _send_attempt(self) -> None:
        self._attempt_count += 1
        host = self._addresses.choose()
        if host is None:
            return
        delay = self._run.network.delays.client
        self._run.schedule.after(delay, lambda: self._deliver(host))

    def _deliver(self, host: VirtualHost) -> None:
        if not host.is_alive:
            self._try_other_host(host)
            return
        elapsed = self._run.now - float(self._fields['asked'])
        request = SearchRequest(
            0,
            self._fields['request_id'],
            self._profile.caller,
            self._profile.service,
            b'{}',
            self._profile.deadline - elapsed - self._run.network.delays.client,
            1,
            TOP_HITS,
            '',
        )
        self._policy.search(
            host,
            request,
            lambda response: self._return_answer(host, response),
        )

    def _return_answer(
        self,
        host: VirtualHost,
        response: SearchResponse,
    ) -> None:
        self._run.schedule.after(
            self._run.network.delays.client,
            lambda: self._handle_answer(host, response),
        )

    def _handle_answer(
        self,
        host: VirtualHost,
        response: SearchResponse,
    ) -> None:
        refusal = response.refusal
        if refusal is not None and refusal.code in OTHER_HOST_CODES:
            if self._attempt_count < MAX_ATTEMPTS:
                self._try_other_host(host)
                return
        self._record_end('search_answered', response)

    def _try_other_host(self, host: VirtualHost) -> None:
        self._addresses.drop(host.name)
        delay = self._run.network.delays.client
        self._run.schedule.after(delay, self._send_attempt)

    def _record_end(self, kind: str, response: SearchResponse | None) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        self._run.recorder.record(
            self._run.now,
            kind,
            answer=response.answer if response else None,
            refusal=response.refusal if response else None,
            is_measured=self._profile.is_measured,
            **self._fields,
        )
