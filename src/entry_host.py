"""Entry point of an entry host on the platform, referenced by `deploy/system.toml`."""

from __future__ import annotations

import signal
import sys

# The settings are read after this. By default, the signal would end a process that still starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from sesamehold.platform import daemon  # noqa: E402

if __name__ == "__main__":
    sys.exit(daemon.main())
