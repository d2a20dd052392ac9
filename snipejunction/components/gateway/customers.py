"""Recognition of the customer that sends a request."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256

from snipejunction.components.gateway.document import Customer, Document


def find_customer(document: Document, keys: Iterable[bytes]) -> Customer | None:
    """Return the customer that holds the keys of a request, if any.

    ``keys`` holds the value of each key header; they must agree.
    """
    digests = {sha256(key).digest() for key in keys}
    if len(digests) != 1:
        return None
    return document.customers_by_digest.get(digests.pop())
