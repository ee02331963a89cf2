"""Starts a fleet as separate processes on loopback addresses.

The fleet has a stand-in for the platform, a process with all targets and
workers, and nine daemons in three data centres. It is used by
tests/fleet/test_fleet.py and can be started by hand:
python3 tests/fleet/fleet.py
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "ops"))

from seamops import Config, key_hash  # noqa: E402

DCS = ("kol-a", "kol-b", "sil-a")
NODES_PER_DC = 3
# Each checkout has its own network, so that fleets of two checkouts don't collide.
NETWORK = f"127.{1 + zlib.crc32(str(ROOT).encode()) % 250}"
PLATFORM_ADDR = f"{NETWORK}.0.1:25000"
OPERATOR_KEY = "operator-test"


def build_config() -> Config:
    """Build a configuration: three data centres, a service, two queues, one idempotent."""
    c = Config()
    for dc in DCS:
        c.data_centre(dc, "bengal")
    c.pool("spare", "spare")
    c.pool("web", "service", minimum=2, maximum=12, budget=2)
    c.pool("batch", "tasks", minimum=2, maximum=12, budget=2)
    for team in ("lenders", "students"):
        c.team(team, share=1, limit=60)
        c.key(f"{team}-1", team, key_hash(f"{team}-key"))
    c.service("reserve", "web", timeout_ms=5000)
    c.queue("reconcile", "lenders", "batch", idempotent=True)
    c.queue("charges", "lenders", "batch")
    return c


def build_vms() -> list:
    """Build a VM list: two targets, two workers and three entry VMs in each data centre."""
    vms = []
    for d, dc in enumerate(DCS):
        for i in range(2):
            vms.append({"id": f"web-{d}{i}", "data_centre": dc, "rack": f"r{d}{i}", "pool": "web",
                        "addr": f"{NETWORK}.{d + 1}.1:{25100 + i}", "cpu_milli": 4000, "memory_mb": 16384})
            vms.append({"id": f"batch-{d}{i}", "data_centre": dc, "rack": f"r{d}{i}", "pool": "batch",
                        "addr": f"{NETWORK}.{d + 1}.1:{25200 + i}", "cpu_milli": 64000, "memory_mb": 131072})
        for i in range(NODES_PER_DC):
            vms.append({"id": f"entry-{d}{i}", "data_centre": dc, "rack": f"e{d}{i}",
                        "addr": f"{NETWORK}.{d + 1}.{10 + i}:25300"})
    return vms


class Fleet:
    """The processes of one fleet; use as a context manager."""

    def __init__(self, build: str):
        self.build = ROOT / build
        self.folder = tempfile.TemporaryDirectory()
        self.procs = {}
        self.urls = {}

    def __enter__(self):
        (self.path("config.json")).write_text(build_config().to_json())
        (self.path("vms.json")).write_text(json.dumps(build_vms()))
        self.start("platform", "seamplatform", "-l", PLATFORM_ADDR, "-c", str(self.path("config.json")),
                   "-v", str(self.path("vms.json")))
        self.start("targets", "seamtargets", "-v", str(self.path("vms.json")), "-w", "batch")
        wait_for(lambda: fetch("GET", f"http://{PLATFORM_ADDR}/vms")[0] == 200, "platform")
        for d, dc in enumerate(DCS):
            for i in range(NODES_PER_DC):
                self.start_node(d, dc, i)
        for name in self.urls:
            wait_for(lambda n=name: self.ready(n), f"node {name}")
        return self

    def __exit__(self, *exc):
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.terminate()
        for proc in self.procs.values():
            try:
                proc.wait(timeout=40)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        self.folder.cleanup()

    def path(self, name: str) -> pathlib.Path:
        """Return the path of a file in the fleet's folder."""
        return pathlib.Path(self.folder.name) / name

    def start(self, name: str, program: str, *args: str) -> None:
        """Start a program with its output in NAME.log."""
        with open(self.path(f"{name}.log"), "ab") as log:
            self.procs[name] = subprocess.Popen([str(self.build / program), *args], stdout=log, stderr=log)

    def start_node(self, d: int, dc: str, i: int) -> None:
        """Start or replace a daemon."""
        name = f"entry-{d}{i}"
        settings = {"node": name, "data_centre": dc, "listen": f"{NETWORK}.{d + 1}.{10 + i}:25300",
                    "peer": f"{NETWORK}.{d + 1}.{10 + i}:25400", "store": f"http://{PLATFORM_ADDR}",
                    "operator_sha256": key_hash(OPERATOR_KEY), "cluster_key": "fleet-test", "threads": 24}
        self.path(f"{name}.json").write_text(json.dumps(settings))
        self.urls[name] = f"http://{settings['listen']}"
        self.start(name, "seamd", "-s", str(self.path(f"{name}.json")))

    def ready(self, name: str) -> bool:
        """Return whether the node reports that it is ready."""
        return fetch("GET", f"{self.urls[name]}/ready")[0] == 200

    def call(self, name: str, method: str, path: str, key: str = "lenders-key", body=None, headers=None):
        """Send a caller's or an operator's request to a node."""
        all_headers = {"Authorization": f"Bearer {key}", **(headers or {})}
        return fetch(method, self.urls[name] + path, body, all_headers)

    def ctl(self, name: str, *words: str) -> subprocess.CompletedProcess:
        """Run seamctl against a node."""
        env = {**os.environ, "SEAM_URL": self.urls[name], "SEAM_KEY": OPERATOR_KEY, "USER": "tester"}
        return subprocess.run([str(self.build / "seamctl"), *words], env=env, capture_output=True,
                              text=True, timeout=60, check=False)

    def faults(self, **faults) -> None:
        """Set the platform's faults; without arguments, clear them."""
        status, body = fetch("PUT", f"http://{PLATFORM_ADDR}/faults", json.dumps(faults).encode())
        if status != 200:
            raise AssertionError(f"faults {faults}: {body}")

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return self.path(f"{name}.log").read_text(errors="replace")


def fetch(method: str, url: str, body=None, headers=None, timeout: float = 30):
    """Send an HTTP request; return its status and body, status 0 without a response."""
    if isinstance(body, str):
        body = body.encode()
    request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError) as error:
        return 0, str(error)


def wait_for(check, what: str, seconds: float = 60) -> None:
    """Wait until check() is true; the limit only ends a run that hangs."""
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            raise AssertionError(f"{what}: not within {seconds} s")
        time.sleep(0.1)


def main() -> None:
    """Run a fleet until Enter is pressed or standard input is closed."""
    with Fleet(os.environ.get("SEAM_BUILD", "build/plain")) as fleet:
        for name, url in fleet.urls.items():
            print(f"{name} {url}")
        print(f"callers' key lenders-key, operators' key {OPERATOR_KEY}; press Enter to end")
        sys.stdin.readline()


if __name__ == "__main__":
    main()
