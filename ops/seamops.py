"""Builds a monsoonseam configuration and prints it as JSON.

Each method validates its arguments when it is called, so that the traceback of
an error leads to the line of the operator's script. The daemon validates the
whole configuration again when it is applied.
"""

import hashlib
import json
import re
import sys
from dataclasses import dataclass, field
from typing import Any, Dict, List, Optional

_NAME = re.compile(r"[A-Za-z0-9._-]{1,63}")


class ConfigError(ValueError):
    """A value that violates a rule of the configuration."""


def _name(kind: str, name: str) -> str:
    if not isinstance(name, str) or not _NAME.fullmatch(name):
        raise ConfigError(f"{kind} {name!r}: must be 1 to 63 letters, digits, '-', '_', '.'")
    return name


def _int(where: str, value: int, low: int, high: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
        raise ConfigError(f"{where}: must be a whole number from {low} to {high}")
    return value


def _bool(where: str, value: bool) -> bool:
    if not isinstance(value, bool):
        raise ConfigError(f"{where}: must be True or False")
    return value


def _names(where: str, names: Optional[List[str]]) -> List[str]:
    if names is not None and not isinstance(names, (list, tuple)):
        raise ConfigError(f"{where}: must be a list of names")
    return list(names or [])


def key_hash(text: str) -> str:
    """Hash a key as the configuration stores it: SHA-256 in hex."""
    return hashlib.sha256(text.encode()).hexdigest()


@dataclass
class Config:
    """A configuration under construction."""

    objects: Dict[str, List[Dict[str, Any]]] = field(default_factory=dict)

    def _add(self, array: str, kind: str, obj: Dict[str, Any]) -> str:
        name = _name(kind, obj["name"])
        existing = self.objects.setdefault(array, [])
        if any(o["name"] == name for o in existing):
            raise ConfigError(f"{kind} {name!r} is defined twice")
        existing.append({k: v for k, v in obj.items() if v is not None})
        return name

    def _require(self, array: str, kind: str, name: str, where: str) -> str:
        if not any(o["name"] == name for o in self.objects.get(array, [])):
            raise ConfigError(f"{where}: no {kind} {name!r}")
        return name

    def _require_pool(self, kind: str, name: str, where: str) -> str:
        self._require("pools", "pool", name, where)
        if not any(p["name"] == name and p["kind"] == kind for p in self.objects["pools"]):
            raise ConfigError(f"{where}: pool {name!r} is not of kind {kind!r}")
        return name

    def data_centre(self, name: str, region: str, state: str = "in") -> str:
        """Add a data centre; state is "in" or "out"."""
        if state not in ("in", "out"):
            raise ConfigError(f"data centre {name!r}: state must be 'in' or 'out'")
        return self._add("data_centres", "data centre",
                         {"name": name, "region": _name("region", region), "state": state})

    def pool(self, name: str, kind: str, minimum: int = 0, maximum: int = 100000,
             budget: int = 1, data_centres: Optional[List[str]] = None) -> str:
        """Add a pool of VMs; budget is the number that may be unavailable at once."""
        if kind not in ("service", "tasks", "spare"):
            raise ConfigError(f"pool {name!r}: kind must be 'service', 'tasks' or 'spare'")
        if kind == "spare" and any(p["kind"] == "spare" for p in self.objects.get("pools", [])):
            raise ConfigError(f"pool {name!r}: a second pool of kind 'spare'")
        _int(f"pool {name!r} minimum", minimum, 0, 100000)
        _int(f"pool {name!r} maximum", maximum, max(1, minimum), 100000)
        _int(f"pool {name!r} budget", budget, 0, 100000)
        for dc in _names(f"pool {name!r} data_centres", data_centres):
            self._require("data_centres", "data centre", dc, f"pool {name!r}")
        return self._add("pools", "pool",
                         {"name": name, "kind": kind, "min": minimum, "max": maximum,
                          "budget": budget, "data_centres": data_centres})

    def service(self, name: str, pool: str, timeout_ms: int = 10000, slots: int = 8,
                connections: int = 64, idempotent: bool = False,
                teams: Optional[List[str]] = None) -> str:
        """Add a service that runs on the VMs of a pool."""
        self._require_pool("service", pool, f"service {name!r}")
        for team in _names(f"service {name!r} teams", teams):
            self._require("teams", "team", team, f"service {name!r}")
        return self._add("services", "service",
                         {"name": name, "pool": pool,
                          "timeout_ms": _int(f"service {name!r} timeout_ms", timeout_ms, 10, 30000),
                          "slots": _int(f"service {name!r} slots", slots, 1, 1024),
                          "connections": _int(f"service {name!r} connections", connections, 1, 1024),
                          "idempotent": _bool(f"service {name!r} idempotent", idempotent),
                          "teams": teams})

    def team(self, name: str, share: int = 1, limit: int = 1000000) -> str:
        """Add a team; share is its weight when all capacity is in use, limit its quota."""
        return self._add("teams", "team",
                         {"name": name, "share": _int(f"team {name!r} share", share, 1, 1000000),
                          "limit": _int(f"team {name!r} limit", limit, 0, 1000000)})

    def workspace(self, name: str, team: str, share: int = 1) -> str:
        """Add a workspace; share is its weight within its team."""
        self._require("teams", "team", team, f"workspace {name!r}")
        return self._add("workspaces", "workspace",
                         {"name": name, "team": team,
                          "share": _int(f"workspace {name!r} share", share, 1, 1000000)})

    def queue(self, name: str, team: str, pool: str, priority: str = "normal",
              open_to_all: bool = False, idempotent: bool = False,
              finish_at: Optional[str] = None,
              data_centres: Optional[List[str]] = None,
              workspace: Optional[str] = None) -> str:
        """Add a queue of tasks; finish_at is "HH:MM" in UTC."""
        self._require("teams", "team", team, f"queue {name!r}")
        if workspace is not None:
            self._require("workspaces", "workspace", workspace, f"queue {name!r}")
        self._require_pool("tasks", pool, f"queue {name!r}")
        if priority not in ("normal", "urgent"):
            raise ConfigError(f"queue {name!r}: priority must be 'normal' or 'urgent'")
        minute = None
        if finish_at is not None:
            match = re.fullmatch(r"([01][0-9]|2[0-3]):([0-5][0-9])", finish_at)
            if not match:
                raise ConfigError(f"queue {name!r}: finish_at must be HH:MM")
            minute = int(match.group(1)) * 60 + int(match.group(2))
        for dc in _names(f"queue {name!r} data_centres", data_centres):
            self._require("data_centres", "data centre", dc, f"queue {name!r}")
        return self._add("queues", "queue",
                         {"name": name, "team": team, "pool": pool, "priority": priority,
                          "open": _bool(f"queue {name!r} open_to_all", open_to_all),
                          "idempotent": _bool(f"queue {name!r} idempotent", idempotent),
                          "finish_at": minute, "data_centres": data_centres,
                          "workspace": workspace})

    def key(self, name: str, team: str, sha256: str, withdrawn: bool = False) -> str:
        """Add a key of callers; pass key_hash(text), never the text itself."""
        self._require("teams", "team", team, f"key {name!r}")
        if not isinstance(sha256, str) or not re.fullmatch(r"[0-9a-f]{64}", sha256):
            raise ConfigError(f"key {name!r}: sha256 must be 64 lower-case hex digits")
        if any(k["sha256"] == sha256 for k in self.objects.get("keys", [])):
            raise ConfigError(f"key {name!r}: another key has this hash")
        return self._add("keys", "key",
                         {"name": name, "team": team, "sha256": sha256,
                          "state": "withdrawn" if _bool(f"key {name!r} withdrawn", withdrawn) else "granted"})

    def to_json(self) -> str:
        """Return the configuration document as JSON text."""
        return json.dumps(self.objects, indent=1)

    def print(self) -> None:
        """Print the configuration document, as input of "seamctl apply -"."""
        sys.stdout.write(self.to_json() + "\n")
