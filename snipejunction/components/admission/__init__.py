"""Admission: system-wide limits on the requests of callers."""
