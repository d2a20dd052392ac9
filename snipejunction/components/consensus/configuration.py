"""Encoding of configurations as payloads of log entries."""

from __future__ import annotations

from snipejunction.components.consensus.messages import Configuration
from snipejunction.helpers.wire import decode, encode


def pack_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as the payload of an entry."""
    return encode(configuration)


def unpack_configuration(payload: bytes) -> Configuration:
    """Return the configuration that the payload of an entry holds.

    Raises:
        WireError: if the payload is not a configuration.
    """
    configuration: Configuration = decode(payload)
    return configuration
