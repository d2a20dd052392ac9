"""A searcher's own 503 is passed on as the promise that nothing ran."""

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
    ZONES,
    CannotRunError,
    Fleet,
    Searcher,
    async_call,
    make_document,
    make_route,
    run_case,
    with_trouble,
)

REQUESTS = 200
FAILING_SHARE = 0.4
PROMISES = {408, 421, 429, 503}


class FailingSearcher(Searcher):
    """A searcher that fails part of the requests that it runs.

    It says nothing about them not having run, and its health is good.
    """

    async def async_answer(self, writer, request_id, path, headers) -> None:
        self.runs.append((self.fleet.record.now(), request_id, path))
        await asyncio.sleep(self.work)
        fails = with_trouble() and random.random() < FAILING_SHARE
        status = 503 if fails else 200
        self.write(writer, status, request_id, self.body(request_id))


async def async_play(folder: Path) -> bool:
    async with Fleet(folder) as fleet:
        searchers = [
            await fleet.async_add(FailingSearcher(fleet, 'submit', zone))
            for zone in ZONES
        ]
        await fleet.async_configure(
            make_document(
                1, ['submit'], [make_route('submit', 'submit', 'unsafe')]
            )
        )
        await fleet.async_wait_ready()
        await asyncio.sleep(3)
        answers = {}
        for number in range(REQUESTS):
            request_id = f'{number:016x}'
            answers[request_id] = await async_call(
                random.choice(fleet.machines).address(FRONT),
                'POST',
                '/submit/x',
                b'reading',
                {
                    'X-Snipejunction-Request-Id': request_id,
                    'X-Snipejunction-Request-Deadline': '4000',
                },
                4,
                HOST_NAME,
            )
        return judge(fleet, searchers, answers)


def judge(fleet, searchers, answers) -> bool:
    """Write what was answered and run; return whether a rule was broken."""
    ran = {run[1]: one for one in searchers for run in one.runs}
    statuses = Counter(answer.status for answer in answers.values())
    fleet.record.write(f'answers: {dict(statuses)}; requests run: {len(ran)}')
    if not statuses[200]:
        raise CannotRunError('nothing was served')
    refused = [
        request_id
        for request_id, answer in answers.items()
        if answer.status in PROMISES and request_id in ran
    ]
    for request_id in refused:
        fleet.record.write(
            f'REFUSED: {request_id} ran at {ran[request_id].searcher_id} and '
            f'was answered {answers[request_id].status}'
        )
    fleet.record.write(f'{len(refused)} requests were refused and have run')
    return bool(refused)


run_case(FOLDER, async_play)
