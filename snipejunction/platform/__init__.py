"""Adapter to the names and formats of the platform that runs the system."""
