"""Writes numbered log events through absl."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from absl import logging as absl_logging

from snipejunction.commands import LogEvent

_LEVELS: Final = MappingProxyType(
    {
        'debug': absl_logging.DEBUG,
        'info': absl_logging.INFO,
        'warning': absl_logging.WARNING,
        'error': absl_logging.ERROR,
    }
)


def write_event(host: str, event: LogEvent) -> None:
    """Write an event with its number, text and fields."""
    kind = event.event
    level = _LEVELS[kind.level]
    if not absl_logging.vlog_is_on(level):
        return
    absl_logging.log(level, '%s E%d %s', host, kind.number, format_event(event))


def format_event(event: LogEvent) -> str:
    """Return the text of an event with its fields inserted."""
    try:
        return event.event.text.format(**event.fields)
    except (KeyError, IndexError, ValueError):
        return f'{event.event.text} {event.fields}'
