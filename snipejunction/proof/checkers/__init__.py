"""Judges of histories: they know the promises, not the code under test."""
