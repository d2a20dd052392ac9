"""Shared helpers: data records, wire encoding and rendezvous hashing."""
