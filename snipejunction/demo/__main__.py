"""Runs the demonstration."""

from __future__ import annotations

import argparse
import asyncio
import sys
from contextlib import AsyncExitStack
from typing import Final

from absl import logging as absl_logging

from snipejunction.cli.exit_codes import EXIT_FAILED, EXIT_OK
from snipejunction.cli.output import print_line
from snipejunction.demo.cluster import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    SERVICE,
    UPSTREAM_TOKEN,
    LocalCluster,
    demo_documents,
)
from snipejunction.demo.show import OLD, Show
from snipejunction.standin.fleet import Fleet, FleetPlan

_DATA_CENTRES: Final = ('lagos', 'kano', 'enugu')
_SEARCHERS: Final = 24
_SHARDS: Final = 12
_LIMIT_SECONDS: Final = 60
_USAGE: Final = """
The hosts and their searchers serve until you press Ctrl-C.

curl -s -H "Authorization: Bearer {caller}" \\
  -d '{{"query": {{"text": "red train"}}}}' \\
  {url}/v1/services/{service}/search

alias snipejunction='.venv/bin/python -m snipejunction'
export SNIPEJUNCTION_HOSTS={hosts}
export SNIPEJUNCTION_TOKEN={caller}
snipejunction query {service} '{{"text": "red train"}}'
snipejunction addresses
export SNIPEJUNCTION_TOKEN={operator}
snipejunction status
snipejunction drain kano
"""


def main() -> int:
    """Run the demonstration; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--stay',
        action='store_true',
        help='go on serving after the demonstration',
    )
    parser.add_argument('--log', action='store_true', help='show log events')
    arguments = parser.parse_args()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(
        absl_logging.INFO if arguments.log else absl_logging.ERROR,
    )
    return asyncio.run(_async_main(is_staying=arguments.stay))


async def _async_main(*, is_staying: bool) -> int:
    async with AsyncExitStack() as stack:
        async with asyncio.timeout(_LIMIT_SECONDS):
            cluster = await stack.enter_async_context(
                LocalCluster(_DATA_CENTRES),
            )
            show = await _async_make_show(stack, cluster)
            await show.async_run(is_staying=is_staying)
        code = _report(show.broken)
        if is_staying:
            _print_usage(cluster)
            await asyncio.Event().wait()
    return code


async def _async_make_show(
    stack: AsyncExitStack,
    cluster: LocalCluster,
) -> Show:
    documents = demo_documents(prefer='coverage')
    for place in _DATA_CENTRES:
        documents[f'/data-centres/{place}'] = {'state': 'in'}
    await cluster.async_put(documents, 'demo')
    plan = FleetPlan(SERVICE, _DATA_CENTRES, _SEARCHERS, _SHARDS)
    fleet = await stack.enter_async_context(
        Fleet(plan, cluster.urls, UPSTREAM_TOKEN, (OLD,)),
    )
    return Show(cluster, fleet)


def _report(broken: list[str]) -> int:
    if broken:
        print_line(f'broken promises: {"; ".join(broken)}')
        return EXIT_FAILED
    print_line('all promises hold')
    return EXIT_OK


def _print_usage(cluster: LocalCluster) -> None:
    hosts = ','.join(cluster.addresses)
    print_line(
        _USAGE.format(
            caller=CALLER_TOKEN,
            operator=OPERATOR_TOKEN,
            url=cluster.urls[0],
            hosts=hosts,
            service=SERVICE,
        ),
    )


if __name__ == '__main__':
    sys.exit(main())
