"""Calls of operators and searchers to control hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Final
from urllib.parse import unquote

from snipejunction.components.deployment.messages import (
    DocumentEntry,
    DrainEntry,
)
from snipejunction.components.registration.messages import (
    SearcherAnnounced,
    SearcherLeft,
)
from snipejunction.edge.control_host import ControlHost
from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.errors import SettingsError
from snipejunction.platform import names
from snipejunction.platform.announcements import read_announcement
from snipejunction.platform.answers import (
    respond_content,
    respond_json,
    respond_status,
)
from snipejunction.platform.documents import read_document

_OK: Final = 200
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_UNAVAILABLE: Final = 503
_GET: Final = b'GET'
_POST: Final = b'POST'


class ControlCalls:
    """Calls of operators and searchers to a control host."""

    def __init__(self, host: ControlHost, profile: HostProfile) -> None:
        """Create the calls of a host."""
        self._host = host
        self._profile = profile
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    def take(self, request: CallerRequest) -> None:
        """Answer any call, at once or later."""
        path = request.target.decode('latin-1').partition('?')[0]
        if path.startswith(names.PATH_ANNOUNCE):
            self._announce(request, path.removeprefix(names.PATH_ANNOUNCE))
        elif path.startswith(names.PATH_LEAVE):
            self._leave(request, path.removeprefix(names.PATH_LEAVE))
        else:
            self._start(self._async_order(request, path))

    def _announce(self, request: CallerRequest, searcher_id: str) -> None:
        try:
            searcher = read_announcement(unquote(searcher_id), request.body)
        except SettingsError as error:
            respond_json(request, _BAD_REQUEST, {'error': str(error)})
            return
        self._host.submit(SearcherAnnounced(searcher))
        if self._host.is_cut_off:
            # The searcher shall tell a host that others can hear as well.
            respond_status(request, _UNAVAILABLE)
            return
        answer = {}
        address = self._profile.addresses.control
        near = self._host.find_control_ip(searcher.data_centre)
        if address is not None and near is not None:
            # All control hosts listen on the same port.
            answer['beatUrl'] = f'{near}:{address[1]}'
        respond_json(request, _OK, answer)

    def _leave(self, request: CallerRequest, searcher_id: str) -> None:
        self._host.submit(SearcherLeft(unquote(searcher_id)))
        is_heard = not self._host.is_cut_off
        respond_status(request, _OK if is_heard else _UNAVAILABLE)

    async def _async_order(self, request: CallerRequest, path: str) -> None:
        # A host that stood still finds old calls in its sockets; those whose
        # callers left are seen as closed after one turn of the loop.
        await asyncio.sleep(0)
        if request.is_disconnected:
            return
        if path == names.PATH_GET_DOCUMENT and request.method == _GET:
            await self._async_read(request)
            return
        entry = self._entry(request, path)
        if entry is None:
            return
        is_accepted = await self._host.async_order(entry)
        respond_status(request, _OK if is_accepted else _UNAVAILABLE)

    async def _async_read(self, request: CallerRequest) -> None:
        content = await self._host.async_read()
        if content:
            respond_content(request, content)
        else:
            respond_status(request, _UNAVAILABLE)

    def _entry(
        self,
        request: CallerRequest,
        path: str,
    ) -> DocumentEntry | DrainEntry | None:
        if request.method != _POST:
            respond_status(request, _NOT_FOUND)
            return None
        if path == names.PATH_PUT_DOCUMENT:
            return self._document(request)
        for prefix, is_out in (
            (names.PATH_DRAIN, True),
            (names.PATH_RESTORE, False),
        ):
            if path.startswith(prefix):
                return self._drain(request, path.removeprefix(prefix), is_out)
        respond_status(request, _NOT_FOUND)
        return None

    def _document(self, request: CallerRequest) -> DocumentEntry | None:
        try:
            document = read_document(request.body)
        except SettingsError as error:
            respond_json(request, _BAD_REQUEST, {'error': str(error)})
            return None
        return DocumentEntry(document.version, request.body)

    def _drain(
        self,
        request: CallerRequest,
        data_centre: str,
        is_out: bool,
    ) -> DrainEntry | None:
        name = unquote(data_centre)
        if name not in self._profile.regions:
            respond_json(request, _BAD_REQUEST, {'error': 'unknown zone'})
            return None
        return DrainEntry(name, is_out)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
