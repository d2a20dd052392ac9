"""Names that HTTP messages use for what the product speaks of."""

from __future__ import annotations

from snipejunction.helpers.records import Record


class Dialect(Record):
    """Names of headers, in lower case.

    ``deadline`` holds the milliseconds that a caller waits; ``signature`` is
    a searcher's proof of origin; ``expected_searcher`` lets any other
    searcher refuse; ``not_run`` states that a searcher did not run the
    request; ``signatures`` and ``missing`` describe a merged answer.
    """

    __slots__ = (
        'deadline',
        'expected_searcher',
        'missing',
        'not_run',
        'request_id',
        'signature',
        'signatures',
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
    ) -> None:
        """Create the names."""
        self.request_id = request_id
        self.deadline = deadline
        self.signature = signature
        self.expected_searcher = expected_searcher
        self.not_run = not_run
        self.signatures = signatures
        self.missing = missing
