"""Specifications of the core protocols for the minicheck model checker."""

from __future__ import annotations
