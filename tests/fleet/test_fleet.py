"""Tests of nine daemons, targets, workers and a stand-in for the platform as processes."""

import concurrent.futures
import json
import os
import signal
import sys
import pathlib
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from fleet import DCS, OPERATOR_KEY, PLATFORM_ADDR, Fleet, fetch, wait_for  # noqa: E402


def error(text: str) -> dict:
    """Return the error object of a response."""
    return json.loads(text)["error"]


class FleetTest(unittest.TestCase):
    """All tests share one fleet; each must leave it working."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(os.environ.get("SEAM_BUILD", "build/plain"))
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__(None, None, None)

    def served(self, name: str, **kw) -> bool:
        """Return whether a request to this node succeeds."""
        return self.fleet.call(name, "GET", "/v1/services/reserve/x", **kw)[0] == 200

    def version(self, name: str) -> int:
        """Return the version of the configuration in force at this node."""
        return json.loads(self.fleet.call(name, "GET", "/v1/config", key=OPERATOR_KEY)[1])["version"]

    def suspects_member(self, name: str) -> bool:
        """Return whether this node suspects any member."""
        members = json.loads(self.fleet.call(name, "GET", "/v1/nodes", key=OPERATOR_KEY)[1])["members"]
        return any(m["suspected"] for m in members)

    def test_every_node_serves(self):
        """Guards against a node that does not forward a request or returns the answer to another one."""
        for name in self.fleet.urls:
            status, body = self.fleet.call(name, "POST", "/v1/services/reserve/loans", body=name)
            self.assertEqual(status, 200, body)
            self.assertEqual(json.loads(body)["body"], name)

    def test_task_is_visible_at_every_node(self):
        """Guards against a task that only the node that accepted it can find."""
        status, body = self.fleet.call("entry-00", "POST", "/v1/queues/reconcile/tasks",
                                       body=json.dumps({"kind": "day", "cpu_milli": 1000, "memory_mb": 100}))
        self.assertIn(status, (200, 201, 202), body)
        task = json.loads(body)["id"]

        def done():
            status, text = self.fleet.call("entry-21", "GET", f"/v1/tasks/{task}")
            return status == 200 and json.loads(text)["state"] == "done"

        wait_for(done, "task at another node")
        self.assertEqual(self.fleet.call("entry-10", "GET", f"/v1/tasks/{task}", key="students-key")[0] // 100, 4)

    def test_key_withdrawn_everywhere(self):
        """Guards against a withdrawn key that is still accepted at some node."""
        out = self.fleet.ctl("entry-00", "key", "withdraw", "students-1", "-m", "leaked")
        self.assertEqual(out.returncode, 0, out.stderr)
        for name in self.fleet.urls:
            wait_for(lambda n=name: self.fleet.call(n, "GET", "/v1/services/reserve/x",
                                                    key="students-key")[0] == 401, f"withdrawal at {name}")
        out = self.fleet.ctl("entry-20", "key", "grant", "students-1", "-m", "found")
        self.assertEqual(out.returncode, 0, out.stderr)
        for name in self.fleet.urls:
            wait_for(lambda n=name: self.served(n, key="students-key"), f"grant at {name}")

    def test_same_key_runs_once_at_all_nodes(self):
        """Guards against a request that runs twice if nine nodes get its Idempotency-Key concurrently."""
        headers = {"Idempotency-Key": f"extend-{os.getpid()}"}

        def extend(name):
            return self.fleet.call(name, "POST", "/v1/services/reserve/extend", body="copy 17", headers=headers)

        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            answers = list(pool.map(extend, self.fleet.urls))
        runs = {json.loads(body)["runs"] for status, body in answers if status == 200}
        self.assertEqual(len(runs), 1, answers)
        for status, body in answers:
            self.assertIn(status, (200, 409), body)
        wait_for(lambda: extend("entry-22")[0] == 200, "stored answer")
        self.assertIn(json.loads(extend("entry-11")[1])["runs"], runs)

    def test_store_down(self):
        """Guards against unkeyed requests that fail and keyed ones that run while the store is down."""
        self.fleet.faults(down=True)
        try:
            for name in self.fleet.urls:
                self.assertTrue(self.served(name), name)
            status, body = self.fleet.call("entry-00", "POST", "/v1/services/reserve/extend", body="c",
                                           headers={"Idempotency-Key": f"down-{os.getpid()}"})
            self.assertEqual(status, 503, body)
            self.assertEqual(error(body)["run"], "not_run")
        finally:
            self.fleet.faults()
        wait_for(lambda: self.fleet.call("entry-00", "POST", "/v1/services/reserve/extend", body="c",
                                         headers={"Idempotency-Key": f"down-{os.getpid()}"})[0] == 200,
                 "keyed request after the outage")

    def test_node_killed_and_replaced(self):
        """Guards against requests that fail while another node is down."""
        self.fleet.procs["entry-01"].kill()
        self.fleet.procs["entry-01"].wait()
        for name in self.fleet.urls:
            if name != "entry-01":
                self.assertTrue(self.served(name), name)
        self.fleet.start_node(0, DCS[0], 1)
        wait_for(lambda: self.fleet.ready("entry-01") and self.served("entry-01"), "replaced node")

    def test_node_paused(self):
        """Guards against requests that fail while a node is paused past the suspicion time, or after."""
        proc = self.fleet.procs["entry-12"]
        proc.send_signal(signal.SIGSTOP)
        try:
            wait_for(lambda: self.suspects_member("entry-00"), "suspicion")
            self.assertTrue(self.served("entry-10"))
        finally:
            proc.send_signal(signal.SIGCONT)
        wait_for(lambda: self.served("entry-12"), "resumed node")

    def test_operators_race(self):
        """Guards against a lost change: of nine concurrent changes of one version, one is accepted."""
        version = self.version("entry-00")

        def change(name):
            return self.fleet.ctl(name, "dc", "in", DCS[0], "-m", f"race at {name}", "-x", str(version))

        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            codes = [out.returncode for out in pool.map(change, self.fleet.urls)]
        self.assertEqual(sorted(codes), [0] + [1] * 8)
        for name in self.fleet.urls:
            wait_for(lambda n=name: self.version(n) == version + 1,
                     f"version at {name}")

    def test_lost_answers(self):
        """Guards against wrong results of changes, and repeated runs, when the store loses answers."""
        self.fleet.faults(lose_answers=300)
        try:
            before = self.version("entry-00")
            done = 0
            for i in range(10):
                out = self.fleet.ctl("entry-00", "dc", "in", DCS[i % 3], "-m", f"lost {i}")
                done += out.returncode == 0
            answers = [self.fleet.call("entry-10", "POST", "/v1/services/reserve/lost", body="x",
                                       headers={"Idempotency-Key": f"lost-{os.getpid()}"}) for _ in range(5)]
        finally:
            self.fleet.faults()
        after = self.version("entry-00")
        self.assertEqual(after - before, done)
        runs = {json.loads(body)["runs"] for status, body in answers if status == 200}
        self.assertLessEqual(len(runs), 1, answers)

    def test_platform_frozen(self):
        """Guards against requests that block on a store that does not answer."""
        proc = self.fleet.procs["platform"]
        proc.send_signal(signal.SIGSTOP)
        try:
            for _ in range(3):
                for name in self.fleet.urls:
                    self.assertTrue(self.served(name), name)
        finally:
            proc.send_signal(signal.SIGCONT)
        wait_for(lambda: self.fleet.ctl("entry-00", "dc", "in", DCS[0], "-m", "thawed").returncode == 0,
                 "change after the freeze")

    def test_rolling_replacement(self):
        """Guards against unanswered accepted requests, or an exit status other than 0, on a stop under load."""
        failed = []

        def load(name):
            for _ in range(40):
                status, body = self.fleet.call(name, "POST", "/v1/services/reserve/x", body="y")
                # A refusal while draining and a refused connection are expected.
                if status != 200 and not (status == 0 or error(body)["kind"] == "draining"):
                    failed.append((name, status, body))

        for d, dc in enumerate(DCS):
            name = f"entry-{d}0"
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                work = pool.submit(load, name)
                self.fleet.procs[name].terminate()
                self.assertEqual(self.fleet.procs[name].wait(timeout=60), 0, self.fleet.log(name)[-500:])
                work.result()
            self.fleet.start_node(d, dc, 0)
            wait_for(lambda n=name: self.fleet.ready(n) and self.served(n), f"replaced {name}")
        self.assertEqual(failed, [])

    def test_wave(self):
        """Guards against a maintenance wave that does not complete or breaks requests."""
        boots = lambda: [v["boot"] for v in json.loads(fetch("GET", f"http://{PLATFORM_ADDR}/vms")[1])["vms"]
                         if v["pool"] == "web"]
        start = boots()
        self.assertEqual(len(start), 6)
        out = self.fleet.ctl("entry-00", "wave", "start", "web", "-m", "kernel update")
        self.assertEqual(out.returncode, 0, out.stderr)

        def all_rebooted():
            for name in self.fleet.urls:
                status, body = self.fleet.call(name, "GET", "/v1/services/reserve/x")
                self.assertEqual(status, 200, (name, body, self.fleet.ctl(name, "--json", "pools").stdout))
            return all(now > was for was, now in zip(start, boots()))

        wait_for(all_rebooted, "wave of pool web", 240)

    def test_data_centre_out_and_back(self):
        """Guards against requests to a data centre more than a few seconds after it was taken out."""
        out = self.fleet.ctl("entry-00", "dc", "out", DCS[2], "-m", "power test")
        self.assertEqual(out.returncode, 0, out.stderr)

        def gone(name):
            got = [self.fleet.call(name, "GET", "/v1/services/reserve/x") for _ in range(8)]
            return all(s == 200 and not json.loads(b)["target"].startswith("web-2") for s, b in got)

        for name in self.fleet.urls:
            wait_for(lambda n=name: gone(n), f"no requests to {DCS[2]} from {name}")
        out = self.fleet.ctl("entry-10", "dc", "in", DCS[2], "-m", "power back")
        self.assertEqual(out.returncode, 0, out.stderr)


if __name__ == "__main__":
    unittest.main()
