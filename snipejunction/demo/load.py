"""Searches under load, each answer checked against a brute-force scan."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from functools import cache
from random import Random
from typing import Any, Final

from hdrh.histogram import HdrHistogram

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.caller import Caller, Reply
from snipejunction.demo.cluster import CALLER_TOKEN, SERVICE
from snipejunction.standin import catalogue

TOP: Final = 10

_MICROSECONDS: Final = 1_000_000
_MILLISECONDS: Final = 1000
_LONGEST_MICROSECONDS: Final = 60_000_000
_DIGITS: Final = 3
_WORDS: Final = (
    'red',
    'blue',
    'wooden',
    'paper',
    'train',
    'kite',
    'abacus',
    'drum',
    'doll',
)
_QUERY_WORDS: Final = 2
_POLL_SECONDS: Final = 0.01
_PERCENTILES: Final = (50, 95, 99, 99.9)


class LoadReport:
    """What the answers to a load were."""

    def __init__(self) -> None:
        """Create an empty report."""
        self.answered = 0
        self.refused: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.false_answers: list[str] = []
        self.partial_answers: list[str] = []
        self.snapshots: Counter[str] = Counter()
        self.needed = 0
        self.extra = 0
        self.worst_coverage = 1.0
        self._coverage = 0.0
        self._latencies = HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)

    @property
    def mean_coverage(self) -> float:
        """Return the mean covered share of the answers."""
        return self._coverage / self.answered if self.answered else 0

    def note(
        self,
        query: dict[str, Any],
        reply: Reply,
        seconds: float,
    ) -> None:
        """Count a reply and check what it says."""
        self.refused.update(reply.refusals)
        document = reply.document
        if not reply.is_ok:
            code = f'{document.get("verdict")}: {document.get("code")}'
            self.failed[code] += 1
            return
        self.answered += 1
        self._latencies.record_value(int(seconds * _MICROSECONDS))
        share = float(document['coverage']['share'])
        self._coverage += share
        self.worst_coverage = min(self.worst_coverage, share)
        self.needed += document['sub_requests']['needed']
        self.extra += document['sub_requests']['extra']
        self.snapshots[str(document['snapshot']['version'])] += 1
        if share < 1:
            self.partial_answers.append(
                f'{share:.3f} covered after {seconds:.3f} s, missing shards '
                f'{document["coverage"]["missing_shards"]}',
            )
        problem = find_falsehood(query, document)
        if problem:
            self.false_answers.append(problem)

    def percentiles(self) -> dict[str, float]:
        """Return the latencies in milliseconds by percentile."""
        return {
            f'p{percentile}': self._latencies.get_value_at_percentile(
                percentile,
            )
            / _MILLISECONDS
            for percentile in _PERCENTILES
        }

    def summary(self) -> str:
        """Return one line for people."""
        times = ', '.join(
            f'{name} {value:.1f} ms'
            for name, value in self.percentiles().items()
        )
        extra = 100 * self.extra / self.needed if self.needed else 0
        return (
            f'{self.answered} answers, coverage mean '
            f'{self.mean_coverage:.4f} worst {self.worst_coverage:.4f}, '
            f'{times}, extra load {extra:.1f} %, '
            f'not run and tried again {dict(self.refused)}, '
            f'failed {dict(self.failed)}'
        )


def find_falsehood(query: dict[str, Any], answer: dict[str, Any]) -> str:
    """Return how an answer differs from the truth, empty if it does not."""
    named = answer['snapshot']
    snapshot = SnapshotId(named['version'], named['layout'])
    coverage = answer['coverage']
    missing = coverage['missing_shards']
    sizes = catalogue.documents_of(snapshot)
    covered = sum(sizes) - sum(sizes[shard] for shard in missing)
    if (covered, sum(sizes)) != (coverage['covered'], coverage['total']):
        return f'coverage {coverage} where {covered} of {sum(sizes)}'
    words = frozenset(query['text'].split())
    truth = _truth(snapshot, words, query['limit'], tuple(missing))
    if truth != answer['hits']:
        return f'hits differ for {query} on {named}'
    return ''


@cache
def _truth(
    snapshot: SnapshotId,
    words: frozenset[str],
    limit: int,
    missing: tuple[int, ...],
) -> list[dict[str, Any]]:
    document = {'text': ' '.join(words), 'limit': limit}
    return catalogue.brute_force(snapshot, document, missing)[:TOP]


class Load:
    """Callers that search one after another until they are stopped."""

    def __init__(self, hosts: list[str], callers: int, seed: int) -> None:
        """Create a load; entering its context starts it."""
        self._hosts = hosts
        self._callers = callers
        self._seed = seed
        self._is_stopped = False
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self.report = LoadReport()

    async def __aenter__(self) -> Load:
        """Start the callers."""
        for number in range(self._callers):
            caller = Caller(self._hosts, CALLER_TOKEN, number)
            self._stack.push_async_exit(caller)
            self._tasks.append(
                asyncio.create_task(self._async_call(caller, number)),
            )
        return self

    async def __aexit__(self, *unused: object) -> None:
        """Let open searches end, then stop."""
        self._is_stopped = True
        await asyncio.gather(*self._tasks)
        await self._stack.aclose()

    async def async_until(self, answers: int) -> None:
        """Wait for so many answers more, or until the callers end."""
        wanted = self.report.answered + answers
        while self.report.answered < wanted:
            await asyncio.sleep(_POLL_SECONDS)
            if all(task.done() for task in self._tasks):
                return

    async def _async_call(self, caller: Caller, number: int) -> None:
        random = Random(self._seed * self._callers + number)
        loop = asyncio.get_running_loop()
        while not self._is_stopped:
            query = make_query(random)
            begun = loop.time()
            reply = await caller.async_search(
                SERVICE,
                {'query': query, 'deadline_ms': 2000, 'top': TOP},
            )
            self.report.note(query, reply, loop.time() - begun)


def make_query(random: Random) -> dict[str, Any]:
    """Return a broad question that finds toys on every shard."""
    words = random.sample(_WORDS, _QUERY_WORDS)
    return {'text': ' '.join(words), 'limit': TOP}
