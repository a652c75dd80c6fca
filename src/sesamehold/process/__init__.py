"""State and decisions that live as long as one process."""

from __future__ import annotations
