"""Bench parts that live as long as one accepted configuration version."""

from __future__ import annotations
