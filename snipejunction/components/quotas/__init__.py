"""Quotas of customers over all entry hosts."""
