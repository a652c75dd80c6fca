"""Bench components with the lifetime of one connection."""

from __future__ import annotations
