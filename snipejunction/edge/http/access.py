"""Authentication of HTTP requests by bearer token."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiohttp import web

from snipejunction import const
from snipejunction.components.control.operators import Operator
from snipejunction.components.control.systems.access import (
    find_caller,
    find_operator,
)
from snipejunction.errors import RefusedError
from snipejunction.verdict import not_run_refusal

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime

# Name of the caller whose token the upstreams of a team use.
UPSTREAMS_CALLER: Final = 'upstreams'

_SCHEME: Final = 'Bearer '
_MAX_TOKEN_CHARACTERS: Final = 512


def require_caller(host: HostRuntime, request: web.Request) -> str:
    """Return the ``team/name`` of the caller.

    Raises:
        RefusedError: if the token is missing or is not that of a caller.
    """
    caller = find_caller(host.node, _read_token(request))
    if caller is None:
        raise _unauthorized('the bearer token is of no caller')
    return caller


def require_operator(host: HostRuntime, request: web.Request) -> Operator:
    """Return the operator that the token belongs to.

    Raises:
        RefusedError: if the token is missing or is not that of an operator.
    """
    operator = find_operator(host.node, _read_token(request))
    if operator is None:
        raise _unauthorized('the bearer token is of no operator')
    return operator


def require_upstream(
    host: HostRuntime,
    request: web.Request,
    service: str,
) -> None:
    """Check that the token may announce searchers of a service.

    Raises:
        RefusedError: if the token is not that of the team's upstreams.
    """
    caller = require_caller(host, request)
    team = service.partition('/')[0]
    if caller != f'{team}/{UPSTREAMS_CALLER}':
        raise RefusedError(
            not_run_refusal(
                const.CODE_FORBIDDEN,
                f'{caller} may not announce searchers of {service}',
                -1,
            ),
        )


def _read_token(request: web.Request) -> str:
    header = request.headers.get('Authorization', '')
    if not header.startswith(_SCHEME):
        raise _unauthorized('Authorization: a bearer token is required')
    token = header.removeprefix(_SCHEME).strip()
    if len(token) > _MAX_TOKEN_CHARACTERS:
        raise _unauthorized(
            f'the token has more than {_MAX_TOKEN_CHARACTERS} characters',
        )
    return token


def _unauthorized(detail: str) -> RefusedError:
    return RefusedError(not_run_refusal(const.CODE_UNAUTHORIZED, detail, -1))
