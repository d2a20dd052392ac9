"""Tests of the deployment component."""
