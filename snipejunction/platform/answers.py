"""Helpers for answers to the platform's calls."""

from __future__ import annotations

import json
from typing import Final

from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.headers import content_type_headers

_OK: Final = 200
_JSON: Final = b'application/json'


def respond_json(request: CallerRequest, status: int, table: object) -> None:
    """Encode a table as JSON and send it as the answer."""
    body = json.dumps(table).encode()
    request.respond(status, content_type_headers(_JSON), body)


def respond_encoded_json(request: CallerRequest, encoded: bytes) -> None:
    """Answer with status 200 and a body that is encoded JSON."""
    request.respond(_OK, content_type_headers(_JSON), encoded)


def respond_status(request: CallerRequest, status: int) -> None:
    """Answer with a status and an empty body."""
    request.respond(status, [], b'')
