"""Machines of the core lose their disks, one after the other."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lib

SERVICE = 'kafi81c'
SITE = lib.AYO_GROWN
# Pause after a machine is back, before the next loss: over catchUpS (6 s).
PAUSE_SECONDS = 9.0
DOWN_SECONDS = 1.5
WIPES = 3
# Kills of the process that leads, until one of no seed leads.
MAX_LEADER_KILLS = 6
# For comparison: the losses only, while a seed leads.
SEED_LEADS = lib.os.environ.get('SEED_LEADS', '0') != '0'
READ_SECONDS = 20.0
# How the log line of an election begins.
ELECTED_TEXT = 'elected leader of group deployment'


def find_leader(group):
    """Return the machine whose replica was elected last, by the logs."""
    newest = (0, None)
    for machine in group.controls:
        for line in machine.log_text('control').splitlines():
            if '"term"' not in line or 'deployment' not in line:
                continue
            fields = json.loads(line)
            if fields['text'].startswith(ELECTED_TEXT):
                newest = max(
                    newest, (fields['term'], machine), key=lambda pair: pair[0]
                )
    return newest[1]


async def lose(group, machine, *, with_disk) -> None:
    """Kill all processes of a machine and start them again."""
    machine.signal(signal.SIGKILL)
    await machine.wait()
    if with_disk:
        machine.lose_disk()
    await asyncio.sleep(DOWN_SECONDS)
    await machine.restart()


async def read(group, seconds):
    """Read the configuration from one machine after the other."""
    end = time.monotonic() + seconds
    seen = {}
    while time.monotonic() < end:
        for machine in group.controls:
            answer = await lib.Connection(machine.ip, machine.control).request(
                'GET', '/Config.Get', keep=False
            )
            group.record.write(
                f'operator: Config.Get at {machine.name}: '
                f'{answer.status or answer.detail}'
            )
            key = answer.status or answer.detail
            seen[key] = seen.get(key, 0) + 1
            if answer.status == 200:
                return json.loads(answer.body)['version'], seen
        await asyncio.sleep(0.2)
    return 0, seen


async def case(group) -> bool:
    routes = [lib.route('r-history', '/goka902/', service=SERVICE)]
    services = [lib.service(SERVICE)]
    await group.configure(1, routes, services)
    await asyncio.sleep(5)
    version = 1
    if lib.TROUBLE and not SEED_LEADS:
        for _ in range(MAX_LEADER_KILLS):
            leader = find_leader(group)
            group.record.write(f'{leader.name} leads')
            if not leader.is_seed:
                break
            await lose(group, leader, with_disk=False)
            await asyncio.sleep(5)
        else:
            raise lib.CannotRun('a seed leads after all kills')
    for number in range(WIPES):
        version += 3
        await group.configure(version, routes, services)
        if not lib.TROUBLE:
            await asyncio.sleep(DOWN_SECONDS + PAUSE_SECONDS)
            continue
        leader = find_leader(group)
        followers = [one for one in group.controls if one is not leader]
        group.record.write(f'{leader.name} leads')
        await lose(group, followers[number], with_disk=True)
        await asyncio.sleep(PAUSE_SECONDS)
    found, seen = await read(group, READ_SECONDS)
    group.record.verdict(
        f'acknowledged: version {version}; read back: version {found or None} '
        f'{seen}'
    )
    return found < version


if __name__ == '__main__':
    lib.main(case, Path(__file__).resolve().parent, machines=6, site=SITE)
