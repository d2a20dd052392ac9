"""Tests of the checker of settings."""

from __future__ import annotations

from typing import Any

from testtools import TestCase
from testtools.matchers import Contains, Equals

from snipejunction.bench.recorder import Recorder
from snipejunction.proof.checkers.settings import check_settings
from snipejunction.verdict import Refusal, not_run_refusal

PATH = '/teams/ayo/callers/desk'


class _History:
    """Builds histories of settings."""

    def __init__(self) -> None:
        self.recorder = Recorder()

    def answer(
        self,
        change_id: str,
        revision: int,
        refusal: Refusal | None = None,
        base: int = 0,
    ) -> None:
        """Record the answer to a change at 2 s."""
        self.recorder.record(
            2,
            'change_answered',
            change_id=change_id,
            revision=revision,
            base=base,
            refusal=refusal,
            written={PATH: {}},
        )

    def sample(self, revision: int, *, has_lease: bool = True) -> None:
        """Record a sample of one host."""
        self.recorder.record(
            3,
            'sample',
            host='h1',
            incarnation=1,
            revision=revision,
            has_lease=has_lease,
        )

    def documents(self, revision: int, documents: dict[str, Any]) -> None:
        """Record the documents of one host."""
        self.recorder.record(
            3,
            'documents',
            host='h1',
            incarnation=1,
            revision=revision,
            documents=documents,
        )

    def broken(self) -> list[str]:
        """Return the promises that the history breaks."""
        return [breach.promise for breach in check_settings(self.recorder)]


class CheckSettingsTest(TestCase):
    """The checker of settings."""

    def test_clean_history(self) -> None:
        """An accepted change that is applied breaks nothing."""
        history = _History()
        history.answer('a', 5)
        history.sample(5)
        history.documents(5, {PATH: {}})
        self.assertThat(history.broken(), Equals([]))

    def test_stale_host_takes_work(self) -> None:
        """A host with a lease behind an accepted change is caught."""
        history = _History()
        history.answer('a', 5)
        history.sample(4)
        in_force = 'accepted settings are in force everywhere'
        self.assertThat(history.broken(), Equals([in_force]))

    def test_stale_host_without_lease(self) -> None:
        """A host that takes no work may be behind."""
        history = _History()
        history.answer('a', 5)
        history.sample(4, has_lease=False)
        self.assertThat(history.broken(), Equals([]))

    def test_lower_revision(self) -> None:
        """A process that goes back is caught."""
        history = _History()
        history.sample(5)
        history.sample(4)
        self.assertThat(history.broken(), Contains('settings never revert'))

    def test_two_states_of_one_revision(self) -> None:
        """Two hosts that disagree about a revision are caught."""
        history = _History()
        history.documents(5, {PATH: {}})
        history.documents(5, {})
        self.assertThat(history.broken(), Contains('settings never revert'))

    def test_two_winners(self) -> None:
        """Two accepted changes of equal numbers are caught."""
        history = _History()
        history.answer('a', 5)
        history.answer('b', 6)
        self.assertThat(
            history.broken(),
            Contains('one winner of equal numbers'),
        )

    def test_refused_change_in_force(self) -> None:
        """A change that was said not to have run but shows is caught."""
        history = _History()
        history.answer('a', 5, not_run_refusal('conflict', ''))
        history.documents(5, {PATH: {}})
        self.assertThat(history.broken(), Contains('not run means not run'))
