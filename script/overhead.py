"""Processor time of a sub-request through a host and without one.

The stand-in searchers, the hosts and a client are processes of their own.
The same queries go to all searchers directly and through the hosts, where a
root passes sub-requests on to the owners; what counts is the processor time
of the direct client and that of all hosts together. Both use the same HTTP
client and merge the hits.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import json
import os
import signal
import sys
import tempfile
import time
from asyncio.subprocess import PIPE, Process
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from typing import Any, Final

from aiohttp import ClientSession, TCPConnector

from snipejunction.components.owner.messages import SnapshotId
from snipejunction.demo.caller import Caller
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    UPSTREAM_TOKEN,
    demo_documents,
    hash_text,
)
from snipejunction.demo.load import TOP, make_query
from snipejunction.cli.client import ClientSettings, ApiClient
from snipejunction.edge import upstream_protocol as protocol
from snipejunction.standin.fleet import Fleet, FleetPlan
from script.soak import HostProcess

SHARDS: Final = 24
SLOTS: Final = 16
CONNECTIONS: Final = 40
REST_SECONDS: Final = 3
DELAY_SECONDS: Final = 0.002
SNAPSHOT: Final = SnapshotId(1, str(SHARDS))


async def _async_serve_fleet(host: str, places: list[str]) -> None:
    """Run the searchers; print their ports once they are announced."""
    plan = FleetPlan(
        SERVICE,
        places,
        SHARDS,
        SHARDS,
        SLOTS,
        CONNECTIONS,
        SLOTS,
        DELAY_SECONDS,
    )
    urls = [f'http://{host}']
    async with Fleet(plan, urls, UPSTREAM_TOKEN, (SNAPSHOT,)) as fleet:
        ports = [searcher.port for searcher in fleet.searchers]
        print(json.dumps(ports), flush=True)
        await asyncio.Event().wait()


async def _async_call_directly(
    ports: list[int],
    queries: int,
    callers: int,
) -> None:
    """Ask all searchers for each query; print the figures."""
    connector = TCPConnector(limit=0, limit_per_host=CONNECTIONS)
    async with ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(
                _async_caller(session, ports, 3, number)
                for number in range(callers)
            ),
        )
        begun, used = time.monotonic(), time.process_time()
        share = queries // callers
        await asyncio.gather(
            *(
                _async_caller(session, ports, share, number)
                for number in range(callers)
            ),
        )
        figures = {
            'seconds': time.monotonic() - begun,
            'processor': time.process_time() - used,
            'subs': share * callers * len(ports),
        }
    print(json.dumps(figures), flush=True)


async def _async_caller(
    session: ClientSession,
    ports: list[int],
    queries: int,
    seed: int,
) -> None:
    random = Random(seed)
    for _ in range(queries):
        body = json.dumps(make_query(random)).encode()
        answers = await asyncio.gather(
            *(
                _async_sub(session, port, shard, body)
                for shard, port in enumerate(ports)
            ),
        )
        hits = [hit for answer in answers for hit in json.loads(answer)['hits']]
        heapq.nsmallest(TOP, hits, key=lambda hit: (-hit['score'], hit['id']))


async def _async_sub(
    session: ClientSession,
    port: int,
    shard: int,
    body: bytes,
) -> bytes:
    async with session.post(
        f'http://127.0.0.1:{port}{protocol.PATH_SEARCH}',
        data=body,
        headers={
            protocol.HEADER_DEADLINE: '2000',
            protocol.HEADER_SNAPSHOT: protocol.format_snapshot(SNAPSHOT),
            protocol.HEADER_SHARDS: str(shard),
            protocol.HEADER_DISPATCH: f'direct/{shard}',
        },
    ) as response:
        return await response.read()


async def _async_through(
    hosts: list[HostProcess],
    queries: int,
    callers: int,
) -> dict[str, Any]:
    """Ask the hosts for each query; return their figures together."""
    await _async_search_all(hosts, 20, callers)
    begun, used = time.monotonic(), _processor_seconds(hosts)
    subs = await _async_search_all(hosts, queries // callers, callers)
    return {
        'seconds': time.monotonic() - begun,
        'processor': _processor_seconds(hosts) - used,
        'subs': subs,
    }


async def _async_rest(hosts: list[HostProcess]) -> float:
    """Return the share of a core that all hosts use without queries."""
    begun, used = time.monotonic(), _processor_seconds(hosts)
    await asyncio.sleep(REST_SECONDS)
    passed = time.monotonic() - begun
    return (_processor_seconds(hosts) - used) / passed


async def _async_search_all(
    hosts: list[HostProcess],
    queries: int,
    callers: int,
) -> int:
    subs = await asyncio.gather(
        *(
            _async_search(hosts[number % len(hosts)], queries, number)
            for number in range(callers)
        ),
    )
    return sum(subs)


def _processor_seconds(hosts: list[HostProcess]) -> float:
    return sum(host.processor_seconds() for host in hosts)


async def _async_search(host: HostProcess, queries: int, seed: int) -> int:
    random = Random(seed)
    subs = 0
    async with Caller([host.address], CALLER_TOKEN) as caller:
        for _ in range(queries):
            reply = await caller.async_search(
                SERVICE,
                {'query': make_query(random), 'deadline_ms': 2000, 'top': TOP},
            )
            if not reply.is_ok:
                raise RuntimeError(f'no answer: {reply.document}')
            if reply.document['coverage']['share'] < 1:
                print(f'not whole: {reply.document["coverage"]}')
            subs += sum(reply.document['sub_requests'].values())
    return subs


async def _async_measure(arguments: argparse.Namespace) -> None:
    hosts = [HostProcess(number) for number in range(arguments.hosts)]
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        await _async_start(hosts, folder, arguments.profile, stack)
        await _async_put(hosts[0])
        places = ','.join(host.place for host in hosts)
        fleet = await _async_spawn('fleet', hosts[0].address, places)
        stack.push_async_callback(_async_end, fleet)
        assert fleet.stdout is not None
        ports = (await fleet.stdout.readline()).decode().strip()
        for host in hosts:
            await _async_until_answered(host)
        rest = await _async_rest(hosts)
        through = await _async_through(
            hosts,
            arguments.queries,
            arguments.callers,
        )
        direct = await _async_spawn(
            'direct',
            ports,
            str(arguments.queries),
            str(arguments.callers),
        )
        output, _ = await direct.communicate()
        memory = max(host.resident_megabytes() for host in hosts)
        _report(json.loads(output), through, rest, memory)
        await _async_end(fleet)
        if arguments.profile:
            # The profile is written by a planned stop.
            hosts[0].running.send_signal(signal.SIGTERM)
            await hosts[0].running.wait()


async def _async_start(
    hosts: list[HostProcess],
    folder: Path,
    profile: str,
    stack: AsyncExitStack,
) -> None:
    (folder / 'peer.key').write_text('k' * 32)
    voters = [
        {'name': host.name, 'ip': host.ip, 'peer_port': host.peer_port}
        for host in hosts
    ]
    for host in hosts:
        words = [sys.executable]
        if profile and host is hosts[0]:
            words += ['-m', 'cProfile', '-o', profile]
        settings = host.write_settings(folder, voters)
        host.process = await asyncio.create_subprocess_exec(
            *words,
            '-m',
            'snipejunction',
            'serve',
            '--settings',
            str(settings),
            '--verbosity',
            '-2',
        )
        stack.push_async_callback(host.async_end)


async def _async_end(process: Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


async def _async_put(host: HostProcess) -> None:
    access = ClientSettings((host.address,), OPERATOR_TOKEN)
    change = {
        'change_id': 'overhead',
        'base': 0,
        'documents': demo_documents(prefer='coverage'),
    }
    async with ApiClient(access) as client:
        while True:
            try:
                await client.async_request('PUT', '/v1/settings', change)
                return
            except Exception:
                await asyncio.sleep(0.1)


async def _async_until_answered(host: HostProcess) -> None:
    async with Caller([host.address], CALLER_TOKEN) as caller:
        share = 0.0
        while share < 1:
            reply = await caller.async_search(
                SERVICE,
                {'query': {'text': 'red'}},
            )
            if reply.is_ok:
                share = reply.document['coverage']['share']


async def _async_spawn(*words: str) -> Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        *words,
        stdout=PIPE,
        env=dict(os.environ),
    )


def _report(
    direct: dict[str, Any],
    through: dict[str, Any],
    rest: float,
    memory: float,
) -> None:
    direct_cost = _print_cost('direct', direct)
    through_cost = _print_cost('through', through)
    print(f'ratio: {through_cost / direct_cost:.2f}')
    without = through_cost - rest * through['seconds'] / through['subs']
    print(
        f'hosts without queries: {100 * rest:.1f} % of a core together; '
        f'ratio without that: {without / direct_cost:.2f}',
    )
    print(f'hosts after the load: {memory:.1f} MB resident at most')


def _print_cost(name: str, figures: dict[str, Any]) -> float:
    cost = float(figures['processor'] / figures['subs'])
    rate = figures['subs'] / figures['seconds']
    print(
        f'{name}: {figures["subs"]} sub-requests, {rate:.0f} a second, '
        f'{1_000_000 * cost:.0f} us of processor each',
    )
    return cost


def main() -> None:
    """Measure, or be one of the processes of a measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('role', nargs='?', default='measure')
    parser.add_argument('words', nargs='*')
    parser.add_argument('--queries', type=int, default=480)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--callers', type=int, default=8)
    parser.add_argument('--profile', default='', help='file for a profile')
    arguments = parser.parse_args()
    words = arguments.words
    if arguments.role == 'fleet':
        asyncio.run(_async_serve_fleet(words[0], words[1].split(',')))
    elif arguments.role == 'direct':
        ports = json.loads(words[0])
        asyncio.run(
            _async_call_directly(ports, int(words[1]), int(words[2])),
        )
    else:
        asyncio.run(_async_measure(arguments))


if __name__ == '__main__':
    main()
