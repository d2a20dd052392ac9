"""Names of the platform stay in its folder."""

from __future__ import annotations

import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

_ROOT = Path(__file__).parents[2] / 'snipejunction'
_NAMES = re.compile(
    r'x-snipejunction-|Instances\.|Config\.(Put|Get)|Evacuations\.|'
    'pathPrefix|timeoutMs|sloMs|coldLeftMs|beatUrl|peerPortRange|minShare|'
    'topK|homeRegions|SNIPEJUNCTION_BOOT',
    re.IGNORECASE,
)


class NamesTest(TestCase):
    """Source files outside of the adapter."""

    def test_only_the_adapter_knows_them(self) -> None:
        """No other file holds a name of the platform."""
        found = [
            str(path)
            for path in _ROOT.rglob('*.py')
            if path.parent.name != 'platform'
            and _NAMES.search(path.read_text())
        ]
        self.assertThat(found, Equals([]))

    def test_the_pattern_finds_them(self) -> None:
        """The adapter itself holds such names."""
        texts = [path.read_text() for path in (_ROOT / 'platform').glob('*.py')]
        self.assertThat(any(map(_NAMES.search, texts)), Equals(True))
