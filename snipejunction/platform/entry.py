"""Entry process: serves callers on every machine."""

from __future__ import annotations

from snipejunction.platform.launcher import launch

if __name__ == '__main__':
    launch('snipejunction.platform.entry_role')
