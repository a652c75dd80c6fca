"""Forwards one request: admission, stages, attempts and the relayed answer."""

from __future__ import annotations
