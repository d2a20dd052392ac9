"""Errors of the package."""

from __future__ import annotations

from snipejunction.verdict import Refusal


class SnipejunctionError(Exception):
    """Base class of the errors of the package."""


class SettingsError(SnipejunctionError):
    """A settings value violates its schema; names the path and the rule."""

    def __init__(self, path: str, problem: str) -> None:
        """Create an error for the value at ``path``."""
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class StorageError(SnipejunctionError):
    """A file under the data folder is damaged or cannot be written."""


class DiskFullError(StorageError):
    """The disk is full; the write was rolled back and can be repeated."""


class PeerError(SnipejunctionError):
    """A peer violated the stream protocol or failed authentication."""


class RefusedError(SnipejunctionError):
    """A request was refused."""

    def __init__(self, refusal: Refusal) -> None:
        """Create an error for ``refusal``."""
        super().__init__(f'{refusal.verdict_text}: {refusal.detail}')
        self.refusal = refusal
