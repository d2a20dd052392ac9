"""Schemas of the host settings file and of shared settings documents."""
