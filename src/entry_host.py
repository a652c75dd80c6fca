"""Entry point of an entry host on the platform, referenced by `deploy/system.toml`."""

from __future__ import annotations

import sys

from sesamehold.platform import daemon

if __name__ == "__main__":
    sys.exit(daemon.main())
