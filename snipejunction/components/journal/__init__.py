"""Journal that runs a non-idempotent request at most once per id."""
