"""State and decisions that live as long as one request."""

from __future__ import annotations
