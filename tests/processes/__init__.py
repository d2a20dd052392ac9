"""Tests that run hosts as processes with files of their own."""
