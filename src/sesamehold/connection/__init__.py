"""State and decisions that live as long as one connection."""

from __future__ import annotations
