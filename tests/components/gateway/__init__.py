"""Tests of the folder of the same name."""
