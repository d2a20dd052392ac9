"""The platform's names are used only in its adapter."""

from __future__ import annotations

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

_ROOT = Path(__file__).parents[2] / 'snipejunction'
_NAMES = re.compile(
    r'x-snipejunction-|Instances\.|Config\.(Put|Get)|Evacuations\.|'
    'pathPrefix|timeoutMs|sloMs|coldLeftMs|beatUrl|peerPortRange|minShare|'
    'topK|homeRegions|apiKeys|ratePerS|SNIPEJUNCTION_BOOT|'
    '/Rollouts|targetVersion|exposureS(hare|lack)|rollbackMs',
    re.IGNORECASE,
)


class NamesTest(TestCase):
    """Search of the source files for the platform's names."""

    def test_names_only_in_adapter(self) -> None:
        """No file outside the adapter holds a name of the platform."""
        found = [
            str(path)
            for path in _ROOT.rglob('*.py')
            if path.parent.name != 'platform'
            and _NAMES.search(path.read_text())
        ]
        self.assertThat(found, Equals([]))

    def test_pattern_matches_adapter(self) -> None:
        """The search pattern matches names in the adapter."""
        texts = [path.read_text() for path in (_ROOT / 'platform').glob('*.py')]
        self.assertThat(any(map(_NAMES.search, texts)), Equals(True))
