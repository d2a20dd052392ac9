"""A second copy of a rejection is taken for the answer to a later attempt."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2 import (  # noqa: E402
    FRONT,
    HOST_NAME,
    CannotRunError,
    Fleet,
    Searcher,
    async_call,
    make_document,
    make_route,
    run_case,
    with_trouble,
)

KEY = 'key-of-mirror'
SERVICES = ('install', 'upload', 'remove', 'sign', 'tag')
# One searcher of a service serves about 16 requests a second, and two of them
# are in the region that the routes name.
REQUESTS_PER_SECOND = 50
LOAD_SECONDS = 80
# The fault: this share of the searchers, this share of their answers, for so
# long, then a pause.
FAULTY_SHARE = 0.5
EXTRA_SHARE = 0.04
FAULT_SECONDS = 5.0
PAUSE_SECONDS = 1.0


class FullSearcher(Searcher):
    """A searcher with a short queue that may send rejections twice.

    The second copy of a rejection comes where the next response on its
    connection is expected.
    """

    def __init__(self, *words) -> None:
        super().__init__(*words, slots=1, work=0.06)
        self.is_faulty = False
        self.extras: dict[object, tuple[str, bytes]] = {}
        self.taken = 0
        self.late = 0

    async def _async_handle(self, writer, path, headers) -> None:
        request_id = headers.get('x-snipejunction-request-id', '')
        extra = self.extras.pop(writer, None)
        if extra is not None:
            self.late += 1
            self.fleet.record.write(
                f'{self.searcher_id} sends a second rejection of {extra[0]} '
                f'before it answers {request_id}'
            )
            writer.write(extra[1])
        expected = headers.get('x-snipejunction-expect-instance')
        if path == '/health' or expected != self.searcher_id:
            await super()._async_handle(writer, path, headers)
        elif self.taken > self.slots:
            self.reject(writer, request_id)
        else:
            self.taken += 1
            try:
                await super()._async_handle(writer, path, headers)
            finally:
                self.taken -= 1

    def reject(self, writer, request_id) -> None:
        """Answer that the searcher is full and did not run a request."""
        lines = [
            'HTTP/1.1 503 Full',
            f'X-Snipejunction-Request-Id: {request_id}',
            f'X-Snipejunction-Server-Stamp: {self.stamp(request_id)}',
            'X-Snipejunction-Not-Executed: 1',
            'Keep-Alive: timeout=15',
            'Content-Length: 0',
        ]
        rejection = '\r\n'.join([*lines, '', '']).encode()
        writer.write(rejection)
        if self.is_faulty and random.random() < EXTRA_SHARE:
            self.extras[writer] = (request_id, rejection)


async def async_disturb(searchers) -> None:
    while True:
        faulty = random.sample(searchers, round(FAULTY_SHARE * len(searchers)))
        for searcher in faulty:
            searcher.is_faulty = True
        await asyncio.sleep(FAULT_SECONDS)
        for searcher in faulty:
            searcher.is_faulty = False
        await asyncio.sleep(PAUSE_SECONDS)


async def async_send(fleet, number, answers) -> None:
    request_id = f'{number:016x}'
    answers[request_id] = await async_call(
        random.choice(fleet.machines).address(FRONT),
        'POST',
        f'/{random.choice(SERVICES)}/x',
        b'package',
        {
            'X-Snipejunction-Request-Id': request_id,
            'X-Snipejunction-Request-Deadline': '3000',
            'X-Snipejunction-Key': KEY,
        },
        3,
        HOST_NAME,
    )


async def async_play(folder: Path) -> bool:
    async with Fleet(folder) as fleet:
        searchers = [
            await fleet.async_add(FullSearcher(fleet, service, zone))
            for service in SERVICES
            for zone in ('marmara-a', 'ege-a', 'ic-anadolu-a')
            for _ in range(2)
        ]
        routes = [
            make_route(service, service, 'unsafe', timeout_ms=3000)
            for service in SERVICES
        ]
        for route in routes:
            route['homeRegions'] = ['marmara']
        document = make_document(1, SERVICES, routes)
        document['tenants'] = [{'name': 'mirror', 'apiKeys': [KEY]}]
        await fleet.async_configure(document)
        await fleet.async_wait_ready()
        await asyncio.sleep(2)
        loop = asyncio.get_running_loop()
        if with_trouble():
            fault = loop.create_task(async_disturb(searchers))
        answers = {}
        tasks = []
        rate = REQUESTS_PER_SECOND * len(SERVICES)
        end = fleet.record.now() + LOAD_SECONDS
        while fleet.record.now() < end:
            number = len(tasks)
            tasks.append(loop.create_task(async_send(fleet, number, answers)))
            await asyncio.sleep(random.expovariate(rate))
        await asyncio.gather(*tasks)
        await asyncio.sleep(1)
        if with_trouble():
            fault.cancel()
        return judge(fleet, searchers, answers)


def judge(fleet, searchers, answers) -> bool:
    """Write what was answered and run; return whether a rule was broken."""
    record = fleet.record
    runs = Counter(run[1] for one in searchers for run in one.runs)
    statuses = Counter(answer.status for answer in answers.values())
    record.write(f'answers: {dict(statuses)}; requests run: {len(runs)}')
    if not statuses[200]:
        raise CannotRunError('nothing was served')
    late = sum(one.late for one in searchers)
    record.write(f'second rejections: {late}')
    is_broken = False
    for request_id, count in runs.items():
        if count > 1:
            is_broken = True
            where = [
                f'{one.searcher_id} at {when:.3f}'
                for one in searchers
                for when, run_id, _ in one.runs
                if run_id == request_id
            ]
            record.write(f'TWICE: {request_id} ran at {", ".join(where)}')
        if answers[request_id].status in {408, 421, 429, 503}:
            is_broken = True
            record.write(
                f'REFUSED: {request_id} has run and was answered '
                f'{answers[request_id].status}'
            )
    return is_broken


run_case(FOLDER, async_play)
