"""Cost of the sub-requests of a query by the number of searchers."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random
from time import perf_counter
from typing import Any, Final

from snipejunction.bench.capacity.slopes import Slopes, fit
from snipejunction.bench.fake_payloads import payload_of
from snipejunction.bench.fake_upstream import FakeUpstream
from snipejunction.bench.network import Place
from snipejunction.bench.virtual import VirtualRun
from snipejunction.components.control.const import BOOTSTRAP_OPERATOR
from snipejunction.components.control.messages import ChangeRequest
from snipejunction.components.owner.messages import (
    SnapshotId,
    SubBatch,
    SubResult,
    SubResults,
)
from snipejunction.components.root.messages import SearchRequest
from snipejunction.helpers.wire import decode, encode

SEARCHER_COUNTS: Final = (10, 100, 1000)
MEMORY_COUNTS: Final = (10, 50, 150)
SERVICE: Final = 'ayo/catalogue'
CALLER: Final = 'ayo/desk'
ROOT: Final = 'h1'
OWNER: Final = 'h2'
UPSTREAM_SECONDS: Final = 0.002
WARM_UP_SECONDS: Final = 4.0
SETTLE_SECONDS: Final = 4.0
SUBS_PER_MEASUREMENT: Final = 10000
QUERY_INTERVAL_SECONDS: Final = 0.1
REPEAT_COUNT: Final = 200
CALLER_LIMIT: Final = 100000
DEADLINE_SECONDS: Final = 2.0
SNAPSHOT: Final = SnapshotId(1, 'a')


def measure_queries(slopes: Slopes) -> None:
    """Add the lines of sub-requests at root, owner and on the wire."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in SEARCHER_COUNTS:
        for name, value in _measure_queries(count).items():
            points.setdefault(name, []).append((float(count), value))
    points['bytes_of_searchers'] = [
        (float(count), _measure_memory(count)) for count in MEMORY_COUNTS
    ]
    for name, measured in points.items():
        slopes.lines[name] = fit(measured)


def _measure_queries(count: int) -> dict[str, float]:
    run = _start_run()
    _add_searchers(run, count)
    run.schedule.run_until(run.now + SETTLE_SECONDS)
    _send_search(run, _ignore_answer)
    run.schedule.run_until(run.now + SETTLE_SECONDS)
    return {**_measure_processor_time(run, count), **_measure_wire(count)}


def _measure_memory(count: int) -> float:
    """Return the bytes of memory of searchers at root and owner."""
    run = _start_run()
    gc.collect()
    tracemalloc.start()
    _add_searchers(run, count)
    run.schedule.run_until(run.now + SETTLE_SECONDS)
    _send_search(run, _ignore_answer)
    run.schedule.run_until(run.now + SETTLE_SECONDS)
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(traced_bytes)


def _measure_processor_time(run: VirtualRun, count: int) -> dict[str, float]:
    queries = max(3, SUBS_PER_MEASUREMENT // count)
    begin = {name: host.cpu_seconds for name, host in run.hosts.items()}
    answers: list[Any] = []
    search = partial(_send_search, run, answers.append)
    for number in range(queries):
        run.schedule.after(number * QUERY_INTERVAL_SECONDS, search)
    window = queries * QUERY_INTERVAL_SECONDS + SETTLE_SECONDS
    run.schedule.run_until(run.now + window)
    used = {
        name: host.cpu_seconds - begin[name] for name, host in run.hosts.items()
    }
    idle_begin = {name: host.cpu_seconds for name, host in run.hosts.items()}
    run.schedule.run_until(run.now + window)
    for name, host in run.hosts.items():
        used[name] -= host.cpu_seconds - idle_begin[name]
    coverage_shares = [
        response.answer.coverage.share
        for response in answers
        if response.answer
    ]
    if len(coverage_shares) < queries or min(coverage_shares) < 1:
        raise ValueError(f'query over {count} searchers was not fully covered')
    subs = queries * count
    return {
        'root_cpu_per_sub': used[ROOT] / subs,
        'owner_cpu_per_sub': used[OWNER] / subs,
    }


def _measure_wire(count: int) -> dict[str, float]:
    numbers = list(range(count))
    names = [f's{number}' for number in numbers]
    shards = [[number] for number in numbers]
    batch = SubBatch(
        SERVICE,
        CALLER,
        SNAPSHOT,
        DEADLINE_SECONDS,
        b'{}',
        '',
        numbers,
        names,
        shards,
    )
    payload = payload_of(SERVICE, SNAPSHOT, [0])
    results = SubResults(
        [
            SubResult(
                number,
                names[number],
                None,
                payload,
                SNAPSHOT,
                [number],
                0,
                UPSTREAM_SECONDS,
                True,
            )
            for number in numbers
        ],
    )
    frames = (encode(batch), encode(results))
    seconds = _mean_seconds(lambda: decode(encode(batch)))
    seconds += _mean_seconds(lambda: decode(encode(results)))
    return {
        'wire_cpu_per_sub': seconds / count,
        'wire_bytes_per_sub': sum(map(len, frames)) / count,
    }


def _mean_seconds(action: Callable[[], object]) -> float:
    begin = perf_counter()
    for _ in range(REPEAT_COUNT):
        action()
    return (perf_counter() - begin) / REPEAT_COUNT


def _start_run() -> VirtualRun:
    run = VirtualRun(seed=1)
    places = {ROOT: Place('a', 'near'), OWNER: Place('b', 'near')}
    run.add_hosts(places, [ROOT])
    run.start_hosts()
    run.schedule.run_until(WARM_UP_SECONDS)
    limit = {'rate': CALLER_LIMIT, 'concurrency': CALLER_LIMIT}
    document = {'callers': {CALLER: limit}, 'prefer': 'coverage'}
    documents = {
        '/data-centres/a': {'state': 'in', 'region': 'near'},
        '/data-centres/b': {'state': 'in', 'region': 'near'},
        '/teams/ayo/services/catalogue': document,
    }
    host = run.host(ROOT)
    revision = host.core.node.settings.revision
    message = ChangeRequest(0, BOOTSTRAP_OPERATOR, 'c1', revision, documents)
    host.call(message, _ignore_answer)
    run.schedule.run_until(run.now + SETTLE_SECONDS)
    return run


def _add_searchers(run: VirtualRun, count: int) -> None:
    for number in range(count):
        upstream = FakeUpstream(
            f's{number}',
            SERVICE,
            'b',
            'near',
            run.schedule,
            run.recorder,
            Random(number),
            _service_time,
        )
        upstream.hold(SNAPSHOT, [number], tuple(range(count)))
        run.add_upstream(upstream)


def _service_time(_random: Random) -> float:
    return UPSTREAM_SECONDS


def _ignore_answer(_answer: object) -> None:
    """Ignore an answer."""


def _send_search(run: VirtualRun, on_answer: Callable[[Any], None]) -> None:
    message = SearchRequest(
        0,
        f'r{run.now}',
        CALLER,
        SERVICE,
        b'{}',
        DEADLINE_SECONDS,
        1,
        10,
        '',
    )
    run.host(ROOT).call(message, on_answer)
