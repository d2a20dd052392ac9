"""Soak test: random faults on the platform's processes."""
