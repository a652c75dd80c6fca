"""Bench components with the lifetime of one request."""

from __future__ import annotations
