"""Gauges of the current state of a control host."""

from __future__ import annotations

from snipejunction.components.deployment.systems.membership import is_cut_off
from snipejunction.const import GROUP_DEPLOYMENT
from snipejunction.edge.gateway.service_metrics import Gauges
from snipejunction.node import Node


def control_gauges(node: Node, now: float) -> Gauges:
    """Return the help text and value of each gauge by its name."""
    table = node.deployment
    replicas = node.consensus.replicas.values()
    return {
        'document_version': (
            'Version of the document held, 0 without one.',
            table.state.version,
        ),
        'deployment_index': ('Index of the state.', table.state.index),
        'term': (
            'Term of the log.',
            max((replica.term for replica in replicas), default=0),
        ),
        'is_leader': (
            '1 if this host leads.',
            any(replica.is_ready for replica in replicas),
        ),
        'is_cut_off': ('1 if no leader is heard.', is_cut_off(node, now)),
        'control_members': (
            'Members of the group.',
            len(node.consensus.members_of(GROUP_DEPLOYMENT)),
        ),
        'entry_hosts': ('Entry hosts with a stream.', len(table.entries)),
        'searchers': (
            'Searchers that are remembered.',
            len(node.registration.searchers),
        ),
        'orders_open': ('Orders that wait for the log.', len(table.orders)),
    }
