"""Query tier over many shards."""

from typing import Final

__version__: Final = '0.1.0'
