"""Replicated settings, host leases and cluster views."""
