"""Bench parts that live as long as one request."""

from __future__ import annotations
