"""Tests of seamops, the library with which operators write a configuration."""

import json
import os
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("SEAM_BUILD", "build/plain")
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import arhivna_kotva
import pathshala
from seamops import Config, ConfigError, key_hash


class SeamopsTest(unittest.TestCase):
    """Guards against configurations that the daemon would refuse."""

    def test_examples_have_present_sizes(self):
        """Guards against an example that lacks objects of the present deployment."""
        for module in (arhivna_kotva, pathshala):
            doc = json.loads(module.build().to_json())
            self.assertEqual(len(doc["data_centres"]), 3)
            self.assertEqual(len(doc["services"]), 5)
            self.assertEqual(len(doc["workspaces"]), 6)
            self.assertEqual(sum(p["kind"] == "spare" for p in doc["pools"]), 1)
            self.assertEqual(sorted(set(module.SERVICES)), sorted(s["name"] for s in doc["services"]))

    def test_errors_name_object_and_rule(self):
        """Guards against errors that do not tell which object breaks which rule."""
        c = Config()
        with self.assertRaisesRegex(ConfigError, "no pool 'none'"):
            c.service("s", "none")
        with self.assertRaisesRegex(ConfigError, "must be a whole number from 1"):
            c.team("t", share=0)
        c.team("t")
        with self.assertRaisesRegex(ConfigError, "defined twice"):
            c.team("t")
        with self.assertRaisesRegex(ConfigError, "64 lower-case"):
            c.key("k", "t", "abc")

    def test_rules_between_objects(self):
        """Guards against references and duplicates that only the daemon would refuse."""
        c = Config()
        c.pool("spare", "spare")
        c.pool("web", "service")
        c.pool("batch", "tasks")
        c.team("t")
        with self.assertRaisesRegex(ConfigError, "second pool of kind 'spare'"):
            c.pool("spare-2", "spare")
        with self.assertRaisesRegex(ConfigError, "not of kind 'service'"):
            c.service("s", "batch")
        with self.assertRaisesRegex(ConfigError, "not of kind 'tasks'"):
            c.queue("q", "t", "web")
        c.key("k", "t", key_hash("one"))
        with self.assertRaisesRegex(ConfigError, "another key has this hash"):
            c.key("l", "t", key_hash("one"))
        with self.assertRaisesRegex(ConfigError, "must be True or False"):
            c.queue("q", "t", "batch", idempotent="no")
        with self.assertRaisesRegex(ConfigError, "list of names"):
            c.service("s", "web", teams="t")
        with self.assertRaisesRegex(ConfigError, "must be 1 to 63"):
            c.team("t\n")
        with self.assertRaisesRegex(ConfigError, "64 lower-case"):
            c.key("m", "t", key_hash("two") + "\n")

    def check(self, text):
        """Run "seamctl check -" on text; fails if the program is missing."""
        return subprocess.run([str(BUILD / "seamctl"), "check", "-"], input=text, text=True,
                              capture_output=True, timeout=20, check=False)

    def test_daemon_accepts_examples(self):
        """The daemon's own reader accepts both deployments, and is not deaf."""
        for module in (arhivna_kotva, pathshala):
            done = self.check(module.build().to_json())
            self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertEqual(self.check('{"pools":[{"name":"p","kind":"x"}]}').returncode, 3)

    def test_hash_matches_daemon(self):
        """The daemon's settings example stores this hash of operator-demo."""
        settings = pathlib.Path(__file__).parents[2] / "examples" / "embedded-settings.json"
        self.assertIn(key_hash("operator-demo"), settings.read_text())


if __name__ == "__main__":
    unittest.main()
