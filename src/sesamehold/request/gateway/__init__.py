"""Forwarding of one request: its values, its stages and its attempts."""

from __future__ import annotations
