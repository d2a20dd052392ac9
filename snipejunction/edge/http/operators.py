"""HTTP handlers of operators: settings, voters and status."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from aiohttp import web

from snipejunction import const
from snipejunction.components.consensus.messages import (
    VoterChangeRequest,
    VoterChangeResponse,
)
from snipejunction.components.control.messages import (
    ChangeResponse,
    ChangeRequest,
)
from snipejunction.components.control.operators import Operator
from snipejunction.edge.http import bodies
from snipejunction.edge.http.access import require_operator
from snipejunction.edge.http.keys import HOST
from snipejunction.edge.http.replies import (
    CODE_NO_SUCH_PATH,
    reply,
    reply_refusal,
)
from snipejunction.edge.http.status import status_document
from snipejunction.errors import RefusedError
from snipejunction.verdict import not_run_refusal

if TYPE_CHECKING:
    from snipejunction.edge.host import HostRuntime


async def async_get_settings(request: web.Request) -> web.Response:
    """Return the documents at and below a path, and the revision."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    path = _request_path(request)
    documents = {
        document_path: document
        for document_path, document in host.node.settings.documents.items()
        if _is_below(document_path, path) and operator.may_write(document_path)
    }
    if path != '/' and not documents:
        raise RefusedError(
            not_run_refusal(
                CODE_NO_SUCH_PATH, f'nothing at {path} for you', -1
            ),
        )
    revision = host.node.settings.revision
    return reply(host, {'revision': revision, 'documents': documents})


async def async_put_settings(request: web.Request) -> web.Response:
    """Write or remove a document, and respond once it is applied."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    fields = await bodies.async_read_json(request, bodies.DOCUMENT_CHANGE)
    changed_documents = {_request_path(request): fields['document']}
    return await _async_change(host, operator, fields, changed_documents)


async def async_put_documents(request: web.Request) -> web.Response:
    """Write or remove several documents as one atomic change."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    fields = await bodies.async_read_json(request, bodies.DOCUMENTS_CHANGE)
    return await _async_change(host, operator, fields, fields['documents'])


async def async_put_data_centre(request: web.Request) -> web.Response:
    """Take a data centre out of service or bring it back."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    fields = await bodies.async_read_json(request, bodies.DATA_CENTRE_CHANGE)
    path = f'/data-centres/{request.match_info["name"]}'
    document = dict(host.node.settings.documents.get(path, {}))
    document['state'] = fields['state']
    changed_documents = {path: document}
    return await _async_change(host, operator, fields, changed_documents)


async def async_history(request: web.Request) -> web.Response:
    """Return the recent changes at and below a path, oldest first."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    path = _request_path(request)
    changes = [
        {
            'revision': entry.revision,
            'change_id': entry.change_id,
            'operator': entry.operator,
            'host': entry.host,
            'asked_at': entry.asked_at,
            'paths': entry.paths,
        }
        for entry in host.node.control.history
        if _any_below(entry.paths, path) and operator.may_write_all(entry.paths)
    ]
    return reply(host, {'changes': changes})


async def async_put_voter(request: web.Request) -> web.Response:
    """Add or remove a voter of the replicated logs."""
    host = request.app[HOST]
    operator = require_operator(host, request)
    _require_root(operator)
    fields = await bodies.async_read_json(request, bodies.VOTER_CHANGE)
    answered: VoterChangeResponse = await host.calls.async_call(
        lambda call_id: VoterChangeRequest(
            call_id,
            fields['action'],
            fields['name'],
            fields.get('ip', ''),
            fields.get('peer_port', 0),
            fields.get('voter_id', ''),
        ),
    )
    if answered.refusal is not None:
        return reply_refusal(host, answered.refusal)
    return reply(host, {'name': fields['name'], 'action': fields['action']})


async def async_status(request: web.Request) -> web.Response:
    """Return the state of this host and its view of the others."""
    host = request.app[HOST]
    require_operator(host, request)
    return reply(host, status_document(host))


async def _async_change(
    host: HostRuntime,
    operator: Operator,
    fields: dict[str, Any],
    changed_documents: dict[str, Any],
) -> web.Response:
    if not operator.may_write_all(changed_documents):
        paths = ', '.join(changed_documents)
        raise _forbidden(f'{operator.name} may not write {paths}')
    answered: ChangeResponse = await host.calls.async_call(
        lambda call_id: ChangeRequest(
            call_id,
            operator.name,
            fields['change_id'],
            fields['base'],
            changed_documents,
            time.time(),
        ),
    )
    if answered.refusal is not None:
        return reply_refusal(
            host,
            answered.refusal,
            revision=answered.revision,
        )
    return reply(host, {'revision': answered.revision})


def _require_root(operator: Operator) -> None:
    if not operator.may_write('/'):
        raise _forbidden(f'{operator.name} may not change the voters')


def _forbidden(detail: str) -> RefusedError:
    return RefusedError(not_run_refusal(const.CODE_FORBIDDEN, detail, -1))


def _request_path(request: web.Request) -> str:
    return f'/{request.match_info.get("path", "").strip("/")}'


def _any_below(document_paths: list[str], path: str) -> bool:
    return any(
        _is_below(document_path, path) for document_path in document_paths
    )


def _is_below(document_path: str, path: str) -> bool:
    return path in {'/', document_path} or document_path.startswith(f'{path}/')
