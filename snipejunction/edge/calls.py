"""Pending requests that wait for a response from the systems."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from random import Random
from typing import Any, Final

from snipejunction.commands import Command
from snipejunction.const import CODE_OUTCOME_UNKNOWN, CODE_OVERLOAD
from snipejunction.edge.const import CALL_SECONDS, MAX_OPEN_CALLS
from snipejunction.errors import RefusedError
from snipejunction.messages import Message
from snipejunction.verdict import may_have_run_refusal, not_run_refusal

_RETRY_SECONDS: Final = 0.5
_FIRST_CALL_ID_BITS: Final = 48
_TOO_MANY_CALLS: Final = not_run_refusal(
    CODE_OVERLOAD,
    f'{MAX_OPEN_CALLS} requests are open at this host',
    _RETRY_SECONDS,
)
_CALL_TIMED_OUT: Final = may_have_run_refusal(
    CODE_OUTCOME_UNKNOWN,
    f'no outcome within {CALL_SECONDS} s',
)


class CallTable:
    """Matches responses with pending calls by call id."""

    __slots__ = ('_futures', '_call_ids', '_submit')

    def __init__(
        self, submit: Callable[[Message], None], random: Random | None = None
    ) -> None:
        """Create a table; ``submit`` enqueues a message for the systems.

        The first call id is drawn from ``random`` if it is given, so that the
        late answer of another host does not complete a call of a new start.
        """
        first_call_id = 1
        if random is not None:
            first_call_id = random.getrandbits(_FIRST_CALL_ID_BITS)
        self._submit = submit
        self._futures: dict[int, asyncio.Future[Any]] = {}
        self._call_ids = itertools.count(first_call_id)

    @property
    def open_calls(self) -> int:
        """Return the number of pending calls."""
        return len(self._futures)

    async def async_call(
        self,
        make_request: Callable[[int], Message],
        make_cancellation: Callable[[int], Message] | None = None,
    ) -> Any:
        """Submit a message and return the command that responds to it.

        ``make_request`` and ``make_cancellation`` build a message from the
        call id; the cancellation is submitted if the task is cancelled.

        Raises:
            RefusedError: if too many calls are open or the call times out.
        """
        if len(self._futures) >= MAX_OPEN_CALLS:
            raise RefusedError(_TOO_MANY_CALLS)
        call_id = next(self._call_ids)
        future = asyncio.get_running_loop().create_future()
        self._futures[call_id] = future
        try:
            return await self._async_submit_and_wait(
                future, make_request(call_id)
            )
        except TimeoutError:
            raise RefusedError(_CALL_TIMED_OUT) from None
        except asyncio.CancelledError:
            if make_cancellation is not None:
                self._submit(make_cancellation(call_id))
            raise
        finally:
            self._futures.pop(call_id, None)

    def resolve(self, call_id: int, command: Command) -> None:
        """Complete a call with its response, or ignore a late response."""
        future = self._futures.get(call_id)
        if future is not None and not future.done():
            future.set_result(command)

    def fail(self, call_id: int, error: Exception) -> None:
        """Fail a call whose message could not be handled."""
        future = self._futures.get(call_id)
        if future is not None and not future.done():
            future.set_exception(error)

    async def _async_submit_and_wait(
        self,
        future: asyncio.Future[Any],
        message: Message,
    ) -> Any:
        self._submit(message)
        # The systems respond before their own deadlines. This timeout frees
        # the call if a fault keeps them from responding.
        async with asyncio.timeout(CALL_SECONDS):
            return await future
