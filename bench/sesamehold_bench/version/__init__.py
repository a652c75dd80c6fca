"""Bench components with the lifetime of one accepted configuration version."""

from __future__ import annotations
