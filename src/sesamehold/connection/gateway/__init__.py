"""Connections of the gateway: callers, targets and other hosts."""

from __future__ import annotations
