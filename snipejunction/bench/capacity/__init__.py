"""Measured cost slopes and the costs they predict at the two-year size."""
