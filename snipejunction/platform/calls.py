"""HTTP calls of operators and searchers to control hosts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Final
from urllib.parse import unquote

from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
)
from snipejunction.components.registration.const import LEAVING
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
    SearcherRecord,
)
from snipejunction.edge.control_host import ControlHost
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.errors import SettingsError
from snipejunction.platform import names
from snipejunction.platform.announcements import (
    read_announcement,
    read_searcher_id,
    read_start,
)
from snipejunction.platform.answers import (
    respond_encoded_json,
    respond_json,
    respond_status,
)
from snipejunction.platform.documents import read_document
from snipejunction.platform.rollouts import (
    async_handle_rollout_call,
    is_rollout_call,
)

_OK: Final = 200
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_GET: Final = b'GET'
_POST: Final = b'POST'
_NANOSECONDS_PER_MILLISECOND: Final = 1_000_000


class ControlCalls:
    """Request handler for operators and searchers."""

    def __init__(self, host: ControlHost, profile: HostProfile) -> None:
        """Create a handler for the calls to a host."""
        self._host = host
        self._profile = profile
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    def handle(self, request: CallerRequest) -> None:
        """Dispatch a call by its path."""
        path = request.target.decode('latin-1').partition('?')[0]
        if path.startswith(names.PATH_HEARTBEAT):
            self._handle_heartbeat(
                request, path.removeprefix(names.PATH_HEARTBEAT)
            )
        elif path.startswith(names.PATH_DEREGISTER):
            self._handle_deregistration(
                request, path.removeprefix(names.PATH_DEREGISTER)
            )
        else:
            self._start_task(self._async_handle_document_call(request, path))

    def _handle_heartbeat(
        self, request: CallerRequest, searcher_id: str
    ) -> None:
        try:
            searcher = read_announcement(
                unquote(searcher_id),
                request.body,
                takes_version=self._profile.exposure is not None,
            )
        except SettingsError as error:
            respond_json(request, _BAD_REQUEST, {'error': str(error)})
            return
        announced = SearcherAnnounced(searcher)
        if searcher.state == LEAVING:
            self._start_task(self._async_handle_leaving(request, announced))
            return
        self._host.submit(announced)
        is_accepted = not self._host.is_cut_off
        self._respond_heartbeat(request, searcher, is_accepted)

    async def _async_handle_leaving(
        self, request: CallerRequest, announced: SearcherAnnounced
    ) -> None:
        is_accepted = await self._host.orders.async_depart(
            announced, request.is_waiting
        )
        self._respond_heartbeat(request, announced.searcher, is_accepted)

    def _respond_heartbeat(
        self,
        request: CallerRequest,
        searcher: SearcherRecord,
        is_accepted: bool,
    ) -> None:
        if not is_accepted:
            # Makes the searcher send its heartbeat to another host.
            respond_status(request, _UNAVAILABLE)
            return
        answer = {}
        address = self._profile.addresses.control
        control_ip = self._host.find_control_ip(searcher.data_centre)
        if address is not None and control_ip is not None:
            # All control hosts listen on the same port.
            answer['beatUrl'] = f'{control_ip}:{address[1]}'
        respond_json(request, _OK, answer)

    def _handle_deregistration(
        self, request: CallerRequest, searcher_id: str
    ) -> None:
        try:
            left = SearcherLeft(
                read_searcher_id(unquote(searcher_id)),
                read_start(request.body),
                time.time_ns() // _NANOSECONDS_PER_MILLISECOND,
            )
        except SettingsError as error:
            respond_json(request, _BAD_REQUEST, {'error': str(error)})
            return
        self._start_task(self._async_handle_left(request, left))

    async def _async_handle_left(
        self, request: CallerRequest, left: SearcherLeft
    ) -> None:
        is_accepted = await self._host.orders.async_depart(
            left, request.is_waiting
        )
        respond_status(request, _OK if is_accepted else _UNAVAILABLE)

    async def _async_handle_document_call(
        self, request: CallerRequest, path: str
    ) -> None:
        # After a pause of the process, its sockets hold old calls.
        if not request.is_waiting():
            return
        if self._profile.exposure is not None and is_rollout_call(path):
            await async_handle_rollout_call(request, path, self._host)
            return
        if path == names.PATH_GET_DOCUMENT and request.method == _GET:
            await self._async_respond_document(request)
            return
        entry = self._read_entry(request, path)
        if entry is None:
            return
        outcome = await self._host.orders.async_send(entry, request.is_waiting)
        is_accepted = outcome is not None and outcome.is_accepted
        respond_status(request, _OK if is_accepted else _UNAVAILABLE)

    async def _async_respond_document(self, request: CallerRequest) -> None:
        content = await self._host.async_read()
        if content:
            respond_encoded_json(request, content)
        else:
            respond_status(request, _UNAVAILABLE)

    def _read_entry(
        self,
        request: CallerRequest,
        path: str,
    ) -> DocumentEntry | DrainEntry | None:
        if request.method != _POST:
            respond_status(request, _NOT_FOUND)
            return None
        if path == names.PATH_PUT_DOCUMENT:
            return self._read_document_entry(request)
        for prefix, is_drained in (
            (names.PATH_DRAIN, True),
            (names.PATH_RESTORE, False),
        ):
            if path.startswith(prefix):
                return self._read_drain_entry(
                    request, path.removeprefix(prefix), is_drained
                )
        respond_status(request, _NOT_FOUND)
        return None

    def _read_document_entry(
        self, request: CallerRequest
    ) -> DocumentEntry | None:
        try:
            document = read_document(request.body)
        except SettingsError as error:
            respond_json(request, _BAD_REQUEST, {'error': str(error)})
            return None
        return DocumentEntry(document.version, request.body)

    def _read_drain_entry(
        self,
        request: CallerRequest,
        data_centre: str,
        is_drained: bool,
    ) -> DrainEntry | None:
        name = unquote(data_centre)
        if name not in self._profile.regions:
            respond_json(request, _BAD_REQUEST, {'error': 'unknown zone'})
            return None
        return DrainEntry(name, is_drained)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
