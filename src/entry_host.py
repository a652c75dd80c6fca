"""Starts an entry host on the platform; `deploy/system.toml` names this file."""

from __future__ import annotations

import sys

from sesamehold.platform import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
