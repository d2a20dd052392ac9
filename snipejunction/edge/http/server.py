"""The HTTP server of a host."""

from __future__ import annotations

import socket
import ssl
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Final, TypeAlias

from absl import logging as absl_logging
from aiohttp import web

from snipejunction.commands import LogEvent
from snipejunction.const import CODE_BAD_REQUEST
from snipejunction.edge.const import EVENT_REQUEST_FAILED, MAX_BODY_BYTES
from snipejunction.edge.http import callers, operators, status, upstreams
from snipejunction.edge.http.keys import HOST
from snipejunction.edge.http.replies import (
    CODE_INTERNAL,
    CODE_NO_SUCH_PATH,
    refusal_document,
    reply_refusal,
)
from snipejunction.errors import RefusedError
from snipejunction.verdict import may_have_run_refusal, not_run_refusal

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

_Handler: TypeAlias = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Timeout for requests in flight when the server closes.
_SHUTDOWN_SECONDS: Final = 2.0
_KEEPALIVE_SECONDS: Final = 75.0
_NOT_FOUND: Final = 404

ROUTES: Final = (
    ('POST', '/v1/services/{team}/{service}/search', callers.async_search),
    ('POST', '/v1/services/{team}/{service}/run', callers.async_run),
    ('GET', '/v1/addresses', callers.async_addresses),
    ('POST', '/v1/upstreams', upstreams.async_announce),
    ('GET', '/v1/settings', operators.async_get_settings),
    ('PUT', '/v1/settings', operators.async_put_documents),
    ('GET', '/v1/settings/{path:.+}', operators.async_get_settings),
    ('PUT', '/v1/settings/{path:.+}', operators.async_put_settings),
    ('GET', '/v1/history', operators.async_history),
    ('GET', '/v1/history/{path:.+}', operators.async_history),
    ('PUT', '/v1/data-centres/{name}', operators.async_put_data_centre),
    ('POST', '/v1/voters', operators.async_put_voter),
    ('GET', '/v1/status', operators.async_status),
    ('GET', '/healthz', status.async_healthz),
    ('GET', '/readyz', status.async_readyz),
)


def make_application(host: HostRuntime) -> web.Application:
    """Return the web application with all routes of a host."""
    application = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[_async_handle_errors],
    )
    application[HOST] = host
    for method, path, handler in ROUTES:
        application.router.add_route(method, path, handler)
    return application


async def async_serve_http(
    host: HostRuntime,
    listener: socket.socket,
    tls: ssl.SSLContext | None,
    stack: AsyncExitStack,
) -> None:
    """Serve HTTP on a bound socket until ``stack`` is closed."""
    runner = web.AppRunner(
        make_application(host),
        access_log=None,
        # A caller that disconnects cancels its request.
        handler_cancellation=True,
        keepalive_timeout=_KEEPALIVE_SECONDS,
        shutdown_timeout=_SHUTDOWN_SECONDS,
    )
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.SockSite(runner, listener, ssl_context=tls).start()


@web.middleware
async def _async_handle_errors(
    request: web.Request,
    handler: _Handler,
) -> web.StreamResponse:
    host = request.app[HOST]
    try:
        return await handler(request)
    except RefusedError as error:
        return reply_refusal(host, error.refusal)
    except web.HTTPException as error:
        return _http_error_response(error)
    except Exception as error:
        return _internal_error_response(host, request, error)


def _http_error_response(error: web.HTTPException) -> web.Response:
    is_missing = error.status == _NOT_FOUND
    code = CODE_NO_SUCH_PATH if is_missing else CODE_BAD_REQUEST
    refusal = not_run_refusal(code, error.reason, -1)
    response = web.json_response(
        refusal_document(refusal),
        status=error.status,
    )
    if isinstance(error, web.HTTPMethodNotAllowed):
        response.headers['Allow'] = error.headers['Allow']
    return response


def _internal_error_response(
    host: HostRuntime,
    request: web.Request,
    error: Exception,
) -> web.Response:
    host.log(
        LogEvent(
            EVENT_REQUEST_FAILED,
            method=request.method,
            path=request.path,
            reason=repr(error),
        ),
    )
    absl_logging.error('details', exc_info=error)
    refusal = may_have_run_refusal(
        CODE_INTERNAL, 'this host failed; see its log'
    )
    return reply_refusal(host, refusal)
