"""Requests at this edge that wait for the answer of the systems."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any, Final

from snipejunction.commands import Command
from snipejunction.const import CODE_OUTCOME_UNKNOWN, CODE_OVERLOAD
from snipejunction.edge.const import CALL_SECONDS, MAX_OPEN_CALLS
from snipejunction.errors import RefusedError
from snipejunction.messages import Message
from snipejunction.verdict import may_have_run_refusal, not_run_refusal

_RETRY_SECONDS: Final = 0.5
_TOO_MANY: Final = not_run_refusal(
    CODE_OVERLOAD,
    f'{MAX_OPEN_CALLS} requests are open at this host',
    _RETRY_SECONDS,
)
_UNANSWERED: Final = may_have_run_refusal(
    CODE_OUTCOME_UNKNOWN,
    f'no outcome within {CALL_SECONDS} s',
)


class CallTable:
    """Matches answers with the calls that wait for them, by number."""

    __slots__ = ('_futures', '_numbers', '_submit')

    def __init__(self, submit: Callable[[Message], None]) -> None:
        """Create a table; ``submit`` hands a message to the systems."""
        self._submit = submit
        self._futures: dict[int, asyncio.Future[Any]] = {}
        self._numbers = itertools.count(1)

    @property
    def open_calls(self) -> int:
        """Return the number of calls that wait."""
        return len(self._futures)

    async def async_ask(
        self,
        make: Callable[[int], Message],
        abandon: Callable[[int], Message] | None = None,
    ) -> Any:
        """Submit a message and return the command that answers it.

        ``make`` and ``abandon`` build messages for the number of the call;
        ``abandon`` is for a call whose asker goes away.

        Raises:
            RefusedError: if too many calls are open, or none answers it.
        """
        if len(self._futures) >= MAX_OPEN_CALLS:
            raise RefusedError(_TOO_MANY)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        try:
            return await self._async_answer(future, make(number))
        except TimeoutError:
            raise RefusedError(_UNANSWERED) from None
        except asyncio.CancelledError:
            if abandon is not None:
                self._submit(abandon(number))
            raise
        finally:
            self._futures.pop(number, None)

    def answer(self, number: int, command: Command) -> None:
        """Hand an answer to its call; one that is gone is ignored."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_result(command)

    def fail(self, number: int, error: Exception) -> None:
        """End a call whose message could not be handled."""
        future = self._futures.get(number)
        if future is not None and not future.done():
            future.set_exception(error)

    async def _async_answer(
        self,
        future: asyncio.Future[Any],
        message: Message,
    ) -> Any:
        self._submit(message)
        # The systems answer in time; this bounds what a fault of theirs
        # can hold up.
        async with asyncio.timeout(CALL_SECONDS):
            return await future
