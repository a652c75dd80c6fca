"""Adapter to the platform: its names, formats and calls, translated into the product's types."""

from __future__ import annotations
