"""Platform adapter: translates the names, formats and calls of the platform into domain types."""

from __future__ import annotations
