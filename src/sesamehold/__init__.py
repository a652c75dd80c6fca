"""Serving system for multi-stage model pipelines.

The packages are laid out by life span: `request`, `connection`, `version` and `process`.
"""

from __future__ import annotations
