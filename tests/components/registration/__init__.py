"""Tests of the registration component."""
