"""State of the gateway that lives as long as the process."""

from __future__ import annotations
