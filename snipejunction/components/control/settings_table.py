"""The settings that this host has applied."""

from __future__ import annotations

from typing import Any

from snipejunction.components.control.service_settings import (
    CallerLimit,
    ServiceSettings,
)
from snipejunction.const import STATE_OUT


class SettingsTable:
    """Settings documents by path, with typed settings of services.

    Paths are ``/teams/<team>/services/<name>``,
    ``/teams/<team>/callers/<name>``, ``/data-centres/<name>`` and
    ``/operators/<name>``.
    """

    __slots__ = ('_documents', '_out_data_centres', '_revision', '_services')

    def __init__(self) -> None:
        """Create an empty table at revision zero."""
        self._revision = 0
        self._documents: dict[str, Any] = {}
        self._services: dict[str, ServiceSettings] = {}
        self._out_data_centres: frozenset[str] = frozenset()

    @property
    def revision(self) -> int:
        """Return the log revision that the host has applied."""
        return self._revision

    @property
    def documents(self) -> dict[str, Any]:
        """Return all documents by path."""
        return self._documents

    @property
    def services(self) -> dict[str, ServiceSettings]:
        """Return the services by their ``team/service`` names."""
        return self._services

    def service(self, name: str) -> ServiceSettings | None:
        """Return the settings of a service."""
        return self._services.get(name)

    def caller_limit(self, caller: str, service: str) -> CallerLimit | None:
        """Return the limit of a caller, None if it may not call at all."""
        settings = self._services.get(service)
        return None if settings is None else settings.callers.get(caller)

    def is_out(self, data_centre: str) -> bool:
        """Return whether operators took a data centre out of service."""
        return data_centre in self._out_data_centres

    def apply(self, revision: int, written: dict[str, Any]) -> bool:
        """Apply a newer change; ignore a lower or equal revision.

        ``written`` maps each path to its document, None to remove it.
        """
        if revision <= self._revision:
            return False
        self._revision = revision
        for path, document in written.items():
            self._write_document(path, document)
        return True

    def _write_document(self, path: str, document: Any) -> None:
        if document is None:
            self._documents.pop(path, None)
        else:
            self._documents[path] = document
        parts = path.strip('/').split('/')
        if parts[0] == 'data-centres':
            self._out_data_centres = frozenset(
                other.rsplit('/', 1)[-1]
                for other, fields in self._documents.items()
                if other.startswith('/data-centres/')
                and fields.get('state') == STATE_OUT
            )
        elif len(parts) == 4 and parts[2] == 'services':
            self._write_service(f'{parts[1]}/{parts[3]}', document)

    def _write_service(self, name: str, document: Any) -> None:
        if document is None:
            self._services.pop(name, None)
            return
        fields = dict(document)
        limits = fields.pop('callers', {})
        callers = {
            caller: CallerLimit(**limit) for caller, limit in limits.items()
        }
        self._services[name] = ServiceSettings(name, callers, **fields)
