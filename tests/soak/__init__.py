"""Random faults on the platform's processes, and what must hold meanwhile."""
