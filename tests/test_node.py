"""Tests of the tables of a host."""

from __future__ import annotations

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, Not

from snipejunction.host_settings import HostIdentity, HostSettings
from snipejunction.node import Node


def first_sub_id(seed: int) -> int:
    """Return the first sub id of a host created with ``seed``."""
    identity = HostIdentity('h1', '127.0.0.1', 1, 2, 'a', 'a', 'h1#1')
    node = Node(HostSettings(identity, ()), Random(seed))
    return node.root.next_sub_id()


class NodeTest(TestCase):
    """The tables of a host."""

    def test_sub_ids_differ_between_starts(self) -> None:
        """A restarted host does not reuse the sub ids of its last process."""
        self.assertThat(first_sub_id(1), Not(Equals(first_sub_id(2))))
