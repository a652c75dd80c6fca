"""Bench parts that live as long as one connection."""

from __future__ import annotations
