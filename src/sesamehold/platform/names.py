"""Names defined by the platform: headers, paths, store keys and environment variables."""

from __future__ import annotations

SETTINGS_VARIABLE = "SESAMEHOLD_NODE_FILE"

# Header names, in lower case for case-insensitive comparison.
REQUEST_ID = b"request-id"
DEADLINE = b"deadline-remaining"
LAST_EVENT_ID = b"last-event-id"
MODEL = b"model"
TOKEN_COUNTS = b"token-counts"
PROMPT_PREFIX = b"prompt-prefix"
PIECES = b"pieces"
PIECE_KEY = b"piece-key"
INPUTS = b"inputs"
TENANT = b"tenant"
EXPECT_INSTANCE = b"expect-instance"
EXPECT_VERSION = b"expect-version"
REQUEST_PRIORITY = b"request-priority"
PIN = b"pin-milliseconds"
HOLD = b"hold"
CACHE_BACKUP = b"cache-backup"
KV_FROM = b"kv-from"
KV_FETCH = b"kv-fetch"
SERVER_SEAL = b"server-seal"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
NOT_RUN = b"not-run"
AUTHORIZATION = b"authorization"

STAGE_RUN_PATH = "/-/stage-run"
STAGE_FREE_PATH = "/-/stage-free"
STORE_RANGE_PATH = "/-/kv-range"
STORE_WATCH_PATH = "/-/kv-watch"

TARGET_KEYS = "servers/"
CONFIGURATION_KEY = "op/config"
EVACUATION_KEYS = "op/evacuate/"
