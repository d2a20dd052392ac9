"""Answers to the platform's calls."""

from __future__ import annotations

import json
from typing import Final

from snipejunction.edge.gateway.caller_connection import CallerRequest
from snipejunction.edge.gateway.headers import content_type_headers

_OK: Final = 200
_JSON: Final = b'application/json'


def respond_json(request: CallerRequest, status: int, table: object) -> None:
    """Answer a call with a JSON body."""
    body = json.dumps(table).encode()
    request.respond(status, content_type_headers(_JSON), body)


def respond_content(request: CallerRequest, content: bytes) -> None:
    """Answer a call with JSON that is there already."""
    request.respond(_OK, content_type_headers(_JSON), content)


def respond_status(request: CallerRequest, status: int) -> None:
    """Answer a call without anything to say."""
    request.respond(status, [], b'')
