"""Adapter to the platform that the system is run on: names and formats."""
