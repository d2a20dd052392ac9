"""Searchers as they announce themselves to control hosts."""
