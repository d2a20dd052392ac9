"""Errors of the package."""

from __future__ import annotations

from snipejunction.verdict import Refusal


class SnipejunctionError(Exception):
    """Base of all errors of the package."""


class SettingsError(SnipejunctionError):
    """A settings value breaks its schema; names its path and the bound."""

    def __init__(self, path: str, problem: str) -> None:
        """Create an error for the value at ``path``."""
        super().__init__(f'{path}: {problem}')
        self.path = path
        self.problem = problem


class StorageError(SnipejunctionError):
    """A file under the data folder is damaged or cannot be written."""


class DiskFullError(StorageError):
    """A write found no room; nothing of it is left, it can be repeated."""


class PeerError(SnipejunctionError):
    """A peer broke the stream protocol or failed authentication."""


class RefusedError(SnipejunctionError):
    """A request was refused."""

    def __init__(self, refusal: Refusal) -> None:
        """Create an error that carries ``refusal``."""
        super().__init__(f'{refusal.verdict_text}: {refusal.detail}')
        self.refusal = refusal
