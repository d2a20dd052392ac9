"""Replication of the deployment document and the drains to all hosts."""
