"""Connections between the gateway and callers, targets and other hosts."""

from __future__ import annotations
