from __future__ import annotations

import pytest

from sesamehold.process import prefix_index


# Guards against wrong hints, which send prompts to targets without the cached prefix.
@pytest.mark.parametrize(
    ("records", "hashes", "expected"),
    [
        pytest.param([], (1, 2), (), id="unknown"),
        pytest.param([((1, 2), "t")], (1, 2, 3), ("t",), id="longest known prefix"),
        pytest.param([((1,), "t"), ((1, 2), "u")], (1, 2), ("u",), id="longer prefix first"),
        pytest.param([((1,), "t"), ((1,), "u")], (1,), ("u", "t"), id="most recent first"),
    ],
)
def test_holders(
    records: list[tuple[tuple[int, ...], str]], hashes: tuple[int, ...], expected: tuple[str, ...]
) -> None:
    index = prefix_index.PrefixIndex()
    for prefixes, target in records:
        index.record(prefixes, target)
    assert index.holders(hashes) == expected


def test_index_is_bounded_and_forgets() -> None:
    index = prefix_index.PrefixIndex(limit=3)
    for number in range(9):
        index.record((number,), "t")
    assert len(index) == 3
    index.forget((8,), "t")
    assert index.holders((8,)) == ()
