"""Tests of the scheduling component."""
