"""Keys of the values stored in the HTTP application."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiohttp import web

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

HOST: Final[web.AppKey[HostRuntime]] = web.AppKey('host')
