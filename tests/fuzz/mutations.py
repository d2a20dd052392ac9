"""Strategies for bytes that resemble valid ones."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from hypothesis import strategies as st

MAX_EDITS = 4
MAX_INSERTED_BYTES = 12
MAX_REPEATS = 400
# Memory of what is decoded, beyond a fixed part: an empty list takes one byte
# on the wire.
BYTES_FOR_EACH = 160
FIXED_BYTES = 131072


def mutate(content: bytes, tokens: tuple[bytes, ...]) -> st.SearchStrategy:
    """Return a strategy for ``content`` after some edits.

    An edit replaces a part by other bytes, one of the tokens, or itself many
    times.
    """
    edit = st.tuples(
        st.integers(0, len(content)),
        st.integers(0, MAX_INSERTED_BYTES),
        st.binary(max_size=MAX_INSERTED_BYTES) | st.sampled_from(tokens),
        st.just(1) | st.integers(0, MAX_REPEATS),
    )
    return st.lists(edit, min_size=1, max_size=MAX_EDITS).map(
        lambda edits: _apply(content, edits)
    )


@contextmanager
def check_memory(
    fed: int, fail: Callable[[str], object], per_byte: int = BYTES_FOR_EACH
) -> Iterator[None]:
    """Fail if much more memory than ``fed`` bytes is taken inside."""
    tracemalloc.start()
    try:
        yield
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    if peak > per_byte * fed + FIXED_BYTES:
        fail(f'{peak} bytes for {fed}')


def _apply(content: bytes, edits: list[tuple[int, int, bytes, int]]) -> bytes:
    for start, length, inserted, repeats in edits:
        end = start + length
        content = content[:start] + inserted * repeats + content[end:]
    return content
