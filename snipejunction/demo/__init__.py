"""A demonstration: a few hosts and stand-ins in one process."""
