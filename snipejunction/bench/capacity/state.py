"""Memory and processor time of the state on every host."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from time import perf_counter
from typing import Any, Final

from snipejunction.bench.capacity.slopes import Slopes, fit
from snipejunction.components.control.settings_table import SettingsTable
from snipejunction.components.control.view import HostEntry, View

HOST_COUNTS: Final = (100, 1000, 2800)
DOCUMENT_COUNTS: Final = (100, 1000, 5000)
DATA_CENTRE_COUNT: Final = 34
OWNED_SEARCHER_COUNT: Final = 23
FIRST_PORT: Final = 7000
HOSTS_PER_NETWORK: Final = 250
REGION_COUNT: Final = 9


def measure_state(slopes: Slopes) -> None:
    """Add the lines of views and settings by their size."""
    slopes.lines['view_memory'] = fit(
        [
            (float(count), _measure_memory(_make_view, count))
            for count in HOST_COUNTS
        ],
    )
    slopes.lines['view_cpu'] = fit(
        [(float(count), _measure_view_seconds(count)) for count in HOST_COUNTS],
    )
    slopes.lines['settings_memory'] = fit(
        [
            (float(count), _measure_memory(_make_settings, count))
            for count in DOCUMENT_COUNTS
        ],
    )


def _measure_memory(make: Callable[[int], Any], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    state = make(count)
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The state must stay referenced until its memory has been measured.
    return float(traced_bytes) if state else 0


def _measure_view_seconds(count: int) -> float:
    hosts = _make_view(count).hosts
    begin = perf_counter()
    view = View(2, hosts)
    for number in range(OWNED_SEARCHER_COUNT):
        view.owner_of(f's{number}', 'dc1')
    return perf_counter() - begin


def _make_view(count: int) -> View:
    hosts = {}
    for number in range(count):
        data_centre = number % DATA_CENTRE_COUNT
        third, fourth = divmod(number, HOSTS_PER_NETWORK)
        name = f'host-{number}'
        hosts[name] = HostEntry(
            name,
            f'10.0.{third}.{fourth}',
            FIRST_PORT,
            FIRST_PORT + 1,
            f'dc{data_centre}',
            f'region{data_centre % REGION_COUNT}',
            f'{name}#1',
        )
    return View(1, hosts)


def _make_settings(count: int) -> SettingsTable:
    table = SettingsTable()
    for number in range(count):
        limit = {'rate': float(number), 'concurrency': number}
        document = {'prefer': 'latency', 'callers': {f'ayo/c{number}': limit}}
        table.apply(number + 1, {f'/teams/ayo/services/s{number}': document})
    return table
