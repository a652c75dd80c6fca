"""Bench components with the lifetime of a process."""

from __future__ import annotations
