"""Scripted failures and checks of the promises on virtual time."""
