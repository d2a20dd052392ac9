"""Raft consensus: a replicated log that syncs before it responds."""
