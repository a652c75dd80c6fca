"""Start and exit of `sesameholdd`: exit codes, and TLS for callers."""

from __future__ import annotations

import json
import pathlib
import signal
import socket
import ssl
import subprocess
import sys
import time
import urllib.error
import urllib.request

import certificates
import factories
import pytest
from sesamehold_bench.process import local_fleet


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        pytest.param({"drain_s": 1, "zone": 7}, ["drain_ms", "zone: expected"], id="all-faults"),
        pytest.param(
            {"caller_tls": {"certificate_path": "/none.pem", "key_path": "/none.pem"}},
            ["/none.pem", "FileNotFoundError"],
            id="no-certificate",
        ),
    ],
)
def test_wrong_settings_end_with_code_2(
    changes: dict[str, object], words: list[str], tmp_path: pathlib.Path
) -> None:
    """Guards against a daemon that starts with invalid settings, and against tracebacks."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(factories.settings_document() | changes))
    command = [sys.executable, "-m", "sesamehold.process.daemon", "--settings", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2, done.stderr
    assert "Traceback" not in done.stderr
    assert all(word in done.stderr for word in words), done.stderr


def test_address_in_use_ends_with_code_2(tmp_path: pathlib.Path) -> None:
    """Guards against a daemon that keeps running without one of its interfaces."""
    caller, operator, peer = local_fleet.free_addresses(3)
    ip, _, port = operator.rpartition(":")
    document = factories.settings_document() | {
        "caller_address": caller,
        "operator_address": operator,
        "peer_address": peer,
        "caller_tls": None,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "sesamehold.process.daemon", "--settings", str(path)]
    with socket.create_server((ip, int(port))):
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2, done.stderr
    assert f"{operator}: cannot listen" in done.stderr
    assert "Traceback" not in done.stderr


def test_callers_are_served_with_tls(tmp_path: pathlib.Path) -> None:
    files = certificates.Authority.create().issue(tmp_path, "host-0")
    caller, operator, peer = local_fleet.free_addresses(3)
    tls = {"certificate_path": files.certificate_path, "key_path": files.key_path}
    document = factories.settings_document() | {
        "caller_address": caller,
        "operator_address": operator,
        "peer_address": peer,
        "platform_address": "127.0.0.1:1",
        "caller_tls": tls,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "sesamehold.process.daemon", "--settings", str(path)]
    context = ssl.create_default_context(cafile=files.authority_path)
    context.check_hostname = False
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        try:
            assert _status(f"https://{caller}/healthz", context) == 503
        finally:
            process.terminate()
        assert process.wait(30) == 0


@pytest.mark.parametrize(
    "number",
    [
        pytest.param(signal.SIGTERM, id="term"),
        pytest.param(signal.SIGINT, id="int"),
        pytest.param(signal.SIGUSR1, id="usr1"),
    ],
)
def test_signals_until_the_daemon_is_gone_do_not_change_its_exit_code(
    tmp_path: pathlib.Path, number: signal.Signals
) -> None:
    """Guards against signals that end a daemon which has stopped but not yet exited."""
    caller, operator, peer = local_fleet.free_addresses(3)
    document = factories.settings_document() | {
        "caller_address": caller,
        "operator_address": operator,
        "peer_address": peer,
        "platform_address": "127.0.0.1:1",
        "caller_tls": None,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    command = [sys.executable, "-m", "sesamehold.process.daemon", "--settings", str(path)]
    log_path = tmp_path / "daemon.log"
    with log_path.open("wb") as log, subprocess.Popen(command, stderr=log) as process:
        try:
            assert _status(f"http://{caller}/healthz", None) == 503
            process.terminate()
            end_s = time.monotonic() + 60.0
            while process.poll() is None and time.monotonic() < end_s:
                process.send_signal(number)
                time.sleep(0.001)
        finally:
            process.kill()
    assert process.returncode == 0, log_path.read_text()[-2_000:]


def _status(url: str, context: ssl.SSLContext | None) -> int:
    for _ in range(600):
        try:
            with urllib.request.urlopen(url, context=context, timeout=5) as response:
                return int(response.status)
        except urllib.error.HTTPError as error:
            return error.code
        except urllib.error.URLError:
            time.sleep(0.05)
    raise TimeoutError(url)
