"""Registration of searchers that announce themselves to control hosts."""
