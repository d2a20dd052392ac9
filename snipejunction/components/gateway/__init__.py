"""Requests of callers on an entry host: routes, searchers, attempts."""
