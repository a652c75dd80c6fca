"""Stand-ins, load tool, experiments and sweeps for sesamehold."""

from __future__ import annotations
