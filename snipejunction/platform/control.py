"""Control process: stores the deployment and tracks the searchers."""

from __future__ import annotations

from snipejunction.platform.launcher import launch

if __name__ == '__main__':
    launch('snipejunction.platform.control_role')
