"""Parsing of the platform's settings file."""

from __future__ import annotations

from types import MappingProxyType

from testtools import TestCase
from testtools.matchers import Equals, Is

from snipejunction.edge.gateway.host_profile import HostProfile
from snipejunction.errors import SettingsError
from snipejunction.platform.settings import ROLE_CONTROL, make_profile

SETTINGS = MappingProxyType(
    {'ip': '127.0.0.1', 'zone': 'one', 'peerPortRange': [7000, 7009]}
)


def read_profile(**bounds: object) -> HostProfile:
    return make_profile({**SETTINGS, 'bounds': bounds}, ROLE_CONTROL, 0)


class ExposureTest(TestCase):
    """Bounds of what a version may get in a roll-out."""

    def test_bounds(self) -> None:
        """The bounds are read, with times converted to seconds."""
        exposure = read_profile(
            exposureShare=0.1, exposureSlack=50, rollbackMs=4000
        ).exposure
        assert exposure is not None
        self.assertThat(exposure.share, Equals(0.1))
        self.assertThat(exposure.slack, Equals(50))
        self.assertThat(exposure.rollback_seconds, Equals(4.0))

    def test_absent(self) -> None:
        """Settings of earlier deployments have no roll-outs."""
        self.assertThat(read_profile(exposureSlack=50).exposure, Is(None))

    def test_invalid(self) -> None:
        """A share of another type is refused."""
        self.assertRaises(SettingsError, read_profile, exposureShare='some')
