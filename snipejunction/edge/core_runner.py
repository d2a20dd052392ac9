"""Event loop driver of a core: feeds it messages, executes commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from snipejunction.commands import Command
from snipejunction.core import Core
from snipejunction.messages import Message


class RunnerHooks(Protocol):
    """Callbacks of the runner into its host."""

    def execute(self, command: Command) -> None:
        """Execute a command."""

    def report_failure(self, source: object, error: Exception) -> None:
        """Report a message or command whose processing failed."""


class CoreRunner:
    """Runs one core on the clock of the event loop.

    Messages submitted while another is being handled are queued.
    """

    __slots__ = (
        '_timer_due',
        '_core',
        '_hooks',
        '_inbox',
        '_is_busy',
        '_loop',
        '_timer',
    )

    def __init__(
        self,
        core: Core,
        hooks: RunnerHooks,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create a runner for a core that has not started."""
        self._core = core
        self._hooks = hooks
        self._loop = loop
        self._inbox: deque[Message] = deque()
        # True before start() and after stop(), so that nothing is handled.
        self._is_busy = True
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0

    def start(self) -> None:
        """Start the core and handle the messages queued so far."""
        self._run(None, self._core.start)
        self._drain()

    def stop(self) -> None:
        """Stop handling messages and timers."""
        self._is_busy = True
        if self._timer is not None:
            self._timer.cancel()

    def submit(self, message: Message) -> None:
        """Handle a message and execute the resulting commands."""
        self._inbox.append(message)
        if not self._is_busy:
            self._drain()

    def _drain(self) -> None:
        self._is_busy = True
        while self._inbox:
            message = self._inbox.popleft()
            self._run(message, partial(self._core.process, message))
        self._is_busy = False
        self._schedule_timer()

    def _on_timer(self) -> None:
        self._timer = None
        self._is_busy = True
        self._run(None, self._core.advance)
        self._drain()

    def _run(
        self,
        message: Message | None,
        handle: Callable[[float], list[Command]],
    ) -> None:
        # A failing message must not stop the host.
        try:
            commands = handle(self._loop.time())
        except Exception as error:
            self._hooks.report_failure(message, error)
            return
        for command in commands:
            self._execute(command)

    def _execute(self, command: Command) -> None:
        try:
            self._hooks.execute(command)
        except Exception as error:
            self._hooks.report_failure(command, error)

    def _schedule_timer(self) -> None:
        due = self._core.next_due()
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._on_timer)
