"""The replicated state of the settings group."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from snipejunction.components.control.const import (
    CHANGE_ID_WINDOW,
    HISTORY_ENTRIES,
    MAX_DOCUMENTS,
)
from snipejunction.components.control.operators import operator_by_name
from snipejunction.components.control.paths import scopes_of
from snipejunction.components.control.replication.change_ids import ChangeIds
from snipejunction.components.control.replication.codec import (
    change_digest,
    pack_documents,
    unpack_documents,
)
from snipejunction.components.control.replication.messages import (
    ChangeRecord,
    GroupSnapshot,
    HistoryEntry,
    HostSnapshot,
    SettingsEntry,
    ViewEntry,
)
from snipejunction.components.control.replication.view_changes import (
    apply_host_changes,
)
from snipejunction.components.control.view import HostEntry
from snipejunction.const import (
    CODE_BAD_REQUEST,
    CODE_CONFLICT,
    CODE_FORBIDDEN,
    CODE_OVERLOAD,
)


class ReplicatedState:
    """Documents, hosts and change ids at one revision of the log.

    Applying the same entries in the same order gives the same state on each
    voter, so nothing here may depend on a clock or on random numbers.
    """

    __slots__ = (
        '_documents',
        '_history',
        '_hosts',
        '_ids',
        '_joined',
        '_revision',
        '_scopes',
        '_view_revision',
    )

    def __init__(self, window: int = CHANGE_ID_WINDOW) -> None:
        """Create the empty state, which remembers ``window`` change ids."""
        self._revision = 0
        self._view_revision = 0
        self._documents: dict[str, Any] = {}
        self._scopes: dict[str, int] = {}
        self._hosts: dict[str, HostEntry] = {}
        self._joined: dict[str, int] = {}
        self._ids = ChangeIds(window)
        self._history: deque[HistoryEntry] = deque(maxlen=HISTORY_ENTRIES)

    @property
    def revision(self) -> int:
        """Return the revision of the last entry that had an effect."""
        return self._revision

    @property
    def documents(self) -> Mapping[str, Any]:
        """Return the documents by path."""
        return self._documents

    @property
    def hosts(self) -> Mapping[str, HostEntry]:
        """Return the hosts of the view by name."""
        return self._hosts

    def joined_at(self, name: str) -> int:
        """Return the revision at which a host's incarnation joined."""
        return self._joined[name]

    def find_answer(self, entry: SettingsEntry) -> ChangeRecord | None:
        """Return the answer to a change that must not be applied, or None.

        Later entries do not invalidate the answer: revisions only grow, and
        a known id stays known until it is refused as expired.
        """
        known = self._ids.look_up(entry)
        if known is not None:
            return known
        written = unpack_documents(entry.written)
        conflict_revision = max(
            [self._scopes.get(scope, 0) for scope in scopes_of(written)],
            default=0,
        )
        code = self._refusal_code(entry, written, conflict_revision)
        if not code:
            return None
        revision = (
            conflict_revision if code == CODE_CONFLICT else self._revision
        )
        return ChangeRecord(
            entry.change_id,
            change_digest(entry),
            self._revision,
            revision,
            code,
        )

    def apply_change(self, index: int, entry: SettingsEntry) -> ChangeRecord:
        """Apply or refuse a change; record and return its answer."""
        answer = self.find_answer(entry)
        if answer is None:
            answer = ChangeRecord(
                entry.change_id,
                change_digest(entry),
                index,
                index,
                '',
            )
            self._write_documents(index, entry)
            self._ids.record(answer)
        elif self._ids.look_up(entry) is None:
            answer.logged_at = index
            self._ids.record(answer)
        return answer

    def apply_view(self, index: int, entry: ViewEntry) -> bool:
        """Apply a view entry; return whether it had an effect."""
        hosts = apply_host_changes(self._hosts, entry)
        if hosts == self._hosts:
            return False
        for name, host in hosts.items():
            before = self._hosts.get(name)
            if before is None or before.incarnation != host.incarnation:
                self._joined[name] = index
        for lost in set(self._hosts) - set(hosts):
            self._joined.pop(lost)
        self._hosts = hosts
        self._revision = index
        self._view_revision = index
        return True

    def snapshot(self) -> GroupSnapshot:
        """Return a snapshot of the state."""
        host = HostSnapshot(
            self._revision,
            self._view_revision,
            pack_documents(self._documents),
            list(self._hosts.values()),
            list(self._history),
        )
        return GroupSnapshot(
            host,
            dict(self._scopes),
            dict(self._joined),
            self._ids.records,
            self._ids.horizon,
        )

    def restore(self, snapshot: GroupSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        host = snapshot.host
        self._revision = host.revision
        self._view_revision = host.view_revision
        self._documents = unpack_documents(host.documents)
        self._hosts = {entry.name: entry for entry in host.hosts}
        self._history = deque(host.history, maxlen=HISTORY_ENTRIES)
        self._scopes = snapshot.scopes
        self._joined = snapshot.joined
        self._ids.restore(snapshot.ids, snapshot.horizon)

    def _refusal_code(
        self,
        entry: SettingsEntry,
        written: dict[str, Any],
        conflict_revision: int,
    ) -> str:
        operator = operator_by_name(self._documents, entry.operator)
        if operator is None or not operator.may_write_all(written):
            return CODE_FORBIDDEN
        if entry.base > self._revision:
            return CODE_BAD_REQUEST
        if conflict_revision > entry.base:
            return CODE_CONFLICT
        added = [path for path in written if path not in self._documents]
        if len(self._documents) + len(added) > MAX_DOCUMENTS:
            return CODE_OVERLOAD
        return ''

    def _write_documents(self, index: int, entry: SettingsEntry) -> None:
        written = unpack_documents(entry.written)
        for path, document in written.items():
            if document is None:
                self._documents.pop(path, None)
            else:
                self._documents[path] = document
        for scope in scopes_of(written):
            self._scopes[scope] = index
        self._revision = index
        self._history.append(make_history_entry(index, entry, written))


def make_history_entry(
    revision: int,
    entry: SettingsEntry,
    written: dict[str, Any],
) -> HistoryEntry:
    """Create the history entry of an applied change."""
    return HistoryEntry(
        revision,
        entry.change_id,
        entry.operator,
        entry.host,
        entry.asked_at,
        sorted(written),
    )
