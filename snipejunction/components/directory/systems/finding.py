"""Lookup of registrars in the current view."""

from __future__ import annotations

from snipejunction.components.directory.registrar import Registrar
from snipejunction.node import Node


def find_registrars(node: Node, service: str) -> tuple[Registrar, ...]:
    """Return the primary and the secondary registrar of a service."""
    return node.directory.registrars.find(node.view.current, service)


def is_registrar(node: Node, service: str) -> bool:
    """Return whether this host is a registrar of a service."""
    names = [name for name, _ in find_registrars(node, service)]
    return node.name in names
