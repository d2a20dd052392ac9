"""Tests of the roll-outs component."""
