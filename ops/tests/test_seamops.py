"""The operators' library checks values where they are written."""

import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import arhivna_kotva
import pathshala
from seamops import Config, ConfigError, key_hash


class SeamopsTest(unittest.TestCase):
    """Guards against a configuration that the daemon would refuse."""

    def test_examples_have_todays_sizes(self):
        """Three data centres, five services, six workspaces, one spare pool."""
        for module in (arhivna_kotva, pathshala):
            doc = json.loads(module.build().to_json())
            self.assertEqual(len(doc["data_centres"]), 3)
            self.assertEqual(len(doc["services"]), 5)
            self.assertEqual(len(doc["workspaces"]), 6)
            self.assertEqual(sum(p["kind"] == "spare" for p in doc["pools"]), 1)
            self.assertEqual(sorted(set(module.SERVICES)), sorted(s["name"] for s in doc["services"]))

    def test_errors_name_place_and_rule(self):
        """A broken value is refused with its name and rule."""
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

    def test_hash_matches_daemon(self):
        """The daemon's settings example stores this hash of operator-demo."""
        settings = pathlib.Path(__file__).parents[2] / "examples" / "embedded-settings.json"
        self.assertIn(key_hash("operator-demo"), settings.read_text())


if __name__ == "__main__":
    unittest.main()
