"""Tests decoding of values that the platform's configuration service publishes."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from sesamehold.connection import platform_http
from sesamehold.version import constraints


@pytest.mark.parametrize(
    "version",
    [
        pytest.param("1e999", id="too-large"),
        pytest.param("NaN", id="not-a-number"),
        pytest.param("1" + "0" * 400, id="400-digits"),
        pytest.param("1" + "0" * 5_000, id="5000-digits"),
        pytest.param("-1", id="negative"),
        pytest.param("1.5", id="fraction"),
        pytest.param("true", id="boolean"),
        pytest.param('"1"', id="text"),
        pytest.param("[" * 200_000 + "]" * 200_000, id="nested"),
    ],
)
def test_value_with_an_odd_version_is_unavailable(version: str) -> None:
    """Guards against a version that ends the watch, or that hides all later versions."""
    body = f'{{"version":{version},"value":{{}}}}'.encode()
    assert platform_http._decode(body).is_error()


@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(body=strategies.binary(max_size=60))
def test_any_bytes_are_decoded_without_an_error(body: bytes) -> None:
    """Guards against bytes that the decoder raises for."""
    platform_http._decode(body)


@pytest.mark.parametrize(
    "text",
    [
        "10.0.0.1:80\n",
        "[::1]:80\n",
        "10.0.0.1:0",
        "10.0.0.1:99999",
        "10.0.0.1:1234567890123456",
        "10.0.0.1:\u00b2",
        "10.0.0.1:\u0668\u0660",
        "localhost:80",
    ],
    ids=ascii,
)
def test_odd_address_of_a_manifest_is_no_address(text: str) -> None:
    """Guards against an address that a header or a socket cannot hold."""
    assert not constraints.is_address(text)
