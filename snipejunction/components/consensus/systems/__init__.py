"""Systems of the consensus component."""

from snipejunction.components.consensus.systems import (
    bootstrap,
    election,
    following,
    membership,
    proposals,
    replication,
    snapshots,
    ticking,
    transfer,
)

__all__ = (
    'bootstrap',
    'election',
    'following',
    'membership',
    'proposals',
    'replication',
    'snapshots',
    'ticking',
    'transfer',
)
