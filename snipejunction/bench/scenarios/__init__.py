"""Benchmark scenarios with the sizes of the required deployments."""
