"""HTTP of an entry host: callers on one side, searchers on the other."""
