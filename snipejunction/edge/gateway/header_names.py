"""Configurable names of the HTTP headers that the gateway reads and sets."""

from __future__ import annotations

from snipejunction.helpers.records import Record


class HeaderNames(Record):
    """Names of headers, in lower case.

    ``deadline``: time that the caller waits, in milliseconds.
    ``signature``: proof that the answer comes from the searcher.
    ``expected_searcher``: id of the addressed searcher; any other searcher
    refuses the request.
    ``not_run``: set by a searcher that did not run the request.
    ``signatures``, ``missing``: signatures and number of missing parts of a
    merged answer.
    ``stated_limit``: requests per second that the searcher accepts from all
    hosts together.
    ``key``: key of the customer that sends the request.
    ``customer``: name of that customer, for the searcher.
    """

    __slots__ = (
        'customer',
        'deadline',
        'expected_searcher',
        'key',
        'missing',
        'not_run',
        'request_id',
        'signature',
        'signatures',
        'stated_limit',
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        deadline: bytes,
        signature: bytes,
        expected_searcher: bytes,
        not_run: bytes,
        signatures: bytes,
        missing: bytes,
        stated_limit: bytes,
        key: bytes,
        customer: bytes,
    ) -> None:
        """Create a set of header names."""
        self.request_id = request_id
        self.deadline = deadline
        self.signature = signature
        self.expected_searcher = expected_searcher
        self.not_run = not_run
        self.signatures = signatures
        self.missing = missing
        self.stated_limit = stated_limit
        self.key = key
        self.customer = customer
