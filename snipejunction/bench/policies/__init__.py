"""Serving policies that the benchmark compares."""
