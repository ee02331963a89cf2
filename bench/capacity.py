#!/usr/bin/env python3
"""Prints the tables of docs/CAPACITY.md from the linear fits of the benchmarks.

usage: bench/capacity.py [DIR [NAME=VALUE ...]]
DIR holds the outputs of the capacity_*_bench programs (capacity_bench.txt, ...)
and of conf_bench; programs whose output is missing are run first. NAME=VALUE
changes an assumption.
"""
import math
import os
import re
import subprocess
import sys

BENCHES = ("capacity_bench", "capacity_work_bench", "capacity_team_bench",
           "capacity_version_bench", "capacity_http_bench",
           "capacity_list_bench", "conf_bench")
FIT = re.compile(r"fit (.+?)\s+(-?[\d.]+) (\S+) \+ (-?[\d.]+) \S+ for each "
                 r"(\S+)")

# Target size of docs/design.md.
WORKERS, POOLS, TEAMS, DCS = 26000, 332, 710, 16
CHANGES = 21000 / 86400
VM_EVENTS = (380 + 2600 + 26000 / 28) / 86400

# Assumptions for sizes that docs/design.md does not give.
ASSUMED = {
    "nodes": 48,  # entry VMs
    "targets": 5000,  # VMs of services
    "running": 26000,  # concurrent tasks
    "rate": 50,  # tasks accepted per second
    "objects": 4700,  # in the configuration
}

HEARTBEAT_BYTES = 161  # 15,295 B/s to 95 peers, member_bench beats
HINT_BYTES = 250  # with hash and framing; process/member.h
FLEET_UPDATE_US = 1.07  # per worker when the fleet changed; commit f7a5411
# From task_bench with 16 buckets. At 1 task/s the rate of a bucket is closest to
# that of the target size; 100 tasks/s corresponds to the restart of lost tasks.
ROWS_PER_TASK = 6.3
ROWS_PER_RESTART = 3.1
LOAD_BYTES = 200000  # per second, process/task_loads.c
LOAD_ROWS = 128  # per read
NODE_CPU, NODE_MB, NODE_KB = 1.7, 256, 10


def read_fits(folder):
    fits = {}
    for name in BENCHES:
        path = os.path.join(folder, name + ".txt")
        if not os.path.exists(path):
            text = subprocess.run(["build/plain/bench/" + name], check=True,
                                  capture_output=True, text=True).stdout
            with open(path, "w", encoding="utf-8") as out:
                out.write(text)
        with open(path, encoding="utf-8") as lines:
            for m in FIT.finditer(lines.read()):
                fits[m[1], m[3]] = float(m[2]), float(m[4])
    return fits


class Model:
    """Resource use of one node in steady state, by role."""

    def __init__(self, fits, given):
        self.fits = fits
        self.a = dict(ASSUMED, **given)
        self.roles = {}
        self.build()

    def fit(self, name, unit, x):
        base, slope = self.fits[name, unit]
        return max(0, base + slope * x)

    def slope(self, name, unit):
        return self.fits[name, unit][1]

    def add(self, role, what, cpu=0.0, kb=0.0, mb=0.0, reads=0.0, rows=0.0):
        """CPU in us per second, KB/s, MB, reads and rows per second."""
        self.roles.setdefault(role, []).append(
            (what, cpu / 1e4, kb, mb, reads, rows))

    def build(self):
        self.inventory()
        self.pools()
        self.teams()
        self.tasks()
        self.members()
        self.versions()

    def inventory(self):
        vms = WORKERS + self.a["targets"]
        # Each event changes the VM list and the pool row four times.
        changes = 4 * VM_EVENTS
        self.add("routing table", "changes of the VM list each second",
                 cpu=self.fit("VM list changes over HTTP", "us", changes),
                 kb=self.fit("VM list changes over HTTP", "bytes",
                             changes) / 1e3)
        self.add("routing table", "whole VM list, at a start",
                 mb=self.fit("VM list while parsed", "bytes", vms) / 1e6)
        self.add("routing table", "publication of the fleet on changes",
                 cpu=2 * changes * self.fit("publication", "us", vms),
                 mb=2 * self.fit("fleet table heap", "bytes", vms) / 1e6)
        targets = self.a["targets"]
        self.add("routing table", "targets taken over on changes",
                 cpu=2 * changes * self.fit("routing table, list taken over", "us", targets),
                 mb=self.fit("routing table heap", "bytes", targets) / 1e6)

    def pools(self):
        vms = WORKERS + self.a["targets"]
        n = self.a["nodes"]
        row = self.fit("pool rows", "bytes", vms) / POOLS
        index = POOLS
        self.add("pools", "index read each 30 s", reads=1 / 30,
                 cpu=self.fit("store scan, index rows", "us", index) / 30,
                 kb=self.fit("store scan, index rows", "bytes", index) / 3e4)
        self.add("pools", "forecasts of owned pools, one commit a minute",
                 rows=POOLS / 60 / n, cpu=self.fit(
                     "store commit, 300 bytes each", "us", POOLS / n) / 60)
        changed = 4 * VM_EVENTS
        self.add("pools", "rows with a VM event", reads=changed,
                 rows=2 * changed / n, kb=changed * row / 1e3,
                 cpu=changed * self.fit("store get", "us", row))
        self.add("pools", "hints about rows to all members",
                 kb=changed / n * HINT_BYTES * (n - 1) / 1e3)
        self.add("pools", "passes over owned pools",
                 cpu=self.fit("pass, all pools owned", "us", vms) / n,
                 mb=self.fit("pools and list heap", "bytes", vms) / 1e6)

    def teams(self):
        n = self.a["nodes"]
        self.add("team grants", "sweep and single rows",
                 cpu=self.fit("team grants, 710 teams", "us/s", n),
                 kb=self.fit("team grants, 710 teams, bytes", "B/s", n) / 1e3,
                 mb=TEAMS * 2 * self.fit("team row", "bytes", n) / 1e6,
                 reads=3, rows=150 / n)

    def tasks(self):
        a = self.a
        n = a["nodes"]
        per_node = a["running"] / n
        self.add("task owner", "fleet taken over when it changed",
                 cpu=self.fit("fleet taken over by tasks", "us/s", WORKERS) +
                 4 * VM_EVENTS * FLEET_UPDATE_US * WORKERS,
                 mb=self.fit("placement and worker rows heap", "bytes",
                             WORKERS) / 1e6)
        self.add("task owner", "a page of worker rows each second", reads=1,
                 cpu=self.fit("store scan, worker rows", "us", 500) +
                 self.fit("scan of worker rows", "us/s", WORKERS),
                 kb=self.fit("store scan, worker rows", "bytes", 500) / 1e3)
        row = 415 * 48  # bytes per task, 768 tasks in 16 buckets
        get = self.fit("store get", "us", row)
        own = a["running"] / 48 / n
        self.add("task owner", "marks, twice a second", reads=2,
                 cpu=2 * self.fit("store scan, index rows", "us", 1))
        self.add("task owner", "own buckets read each 30 s", reads=own / 30,
                 kb=own / 30 * row / 1e3, cpu=own / 30 * get)
        self.add("task owner", "buckets read after a hint",
                 reads=a["rate"] / n, kb=a["rate"] / n * row / 1e3,
                 cpu=a["rate"] / n * get)
        self.add("task owner", "scan of all buckets, once an hour",
                 kb=row * a["running"] / 48 / 3600 / 1e3)
        pages = LOAD_BYTES / row / LOAD_ROWS
        self.add("task owner", "rows of others, for the shares",
                 reads=pages, kb=LOAD_BYTES / 1e3,
                 cpu=pages * self.fit("store get", "us", row * LOAD_ROWS))
        # Workers with at least one task of this node's buckets.
        each = a["running"] / WORKERS
        links = WORKERS * (1 - (1 - 1 / n) ** each)
        self.add("task owner", "passes over running tasks",
                 cpu=self.slope("running tasks, all owned", "us/s") * per_node,
                 mb=self.slope("running tasks heap", "bytes") * per_node / 1e6)
        calls = links * 0.2
        per_call = per_node / links
        self.add("task owner", "renewals",
                 cpu=calls * self.fit("renewals in one call", "us", per_call),
                 kb=calls * self.fit("renewals in one call", "bytes",
                                     per_call) / 1e3)
        # Listings are 1 s apart for 16 s after a start, then 1/16 of the age.
        lists = (16 + 16 * math.log(6)) * a["rate"] / n + links / 50
        self.add("task owner", "links and listings", cpu=lists * 100,
                 kb=lists * 227 * max(1, each) / 1e3,
                 mb=links * self.slope("links to workers", "KB") / 1e3)
        self.add("task owner", "commits", rows=ROWS_PER_TASK * a["rate"] / n,
                 reads=a["rate"] / n, cpu=1.3 * a["rate"] / n *
                 self.fit("store commit, 300 bytes each", "us", 2))

    def members(self):
        n = self.a["nodes"]
        # 2.25% and 0.188% of a core with 96 members at 5,000 and 50 targets.
        cpu = 19 * n + 4.3 * self.a["targets"] * n / 96
        self.add("membership", "heartbeats to all members", cpu=cpu,
                 kb=HEARTBEAT_BYTES * (n - 1) / 1e3, reads=0.2)

    def versions(self):
        objects = self.a["objects"]
        self.add("versions", "head each second", cpu=self.fit(
            "store get", "us", 100), kb=0.2, reads=1)
        self.add("versions", "changes", reads=CHANGES,
                 cpu=CHANGES * self.fit("one change read and applied", "us",
                                        objects),
                 mb=2 * self.fit("configuration heap", "bytes", objects) / 1e6,
                 kb=CHANGES * 0.35 * 2, rows=3 * CHANGES / self.a["nodes"])

    def sums(self):
        return [sum(x[i] for r in self.roles.values() for x in r)
                for i in range(1, 6)]


def line(cells):
    print("| " + " | ".join(cells) + " |")


def numbers(x):
    return [f"{x[0]:.2f}", f"{x[1]:,.1f}", f"{x[2]:,.1f}", f"{x[3]:.2f}",
            f"{x[4]:.2f}"]


def steady(m):
    line(["role", "part", "% of a core", "KB/s", "MB", "reads/s", "rows/s"])
    line(["---"] * 7)
    for role, parts in m.roles.items():
        for part in parts:
            line([role, part[0]] + numbers(part[1:]))
    line(["**sum**", ""] + numbers(m.sums()))
    line(["a node may spend", "", f"{NODE_CPU}", f"{NODE_KB}", f"{NODE_MB}",
          f"{1500 / m.a['nodes']:.0f}", f"{300 / m.a['nodes']:.1f}"])


def sensitivity(fits, given):
    print()
    line(["changed", "% of a core", "KB/s", "MB", "reads/s of all",
          "rows/s of all"])
    line(["---"] * 6)
    for name, value in ((None, 0), ("nodes", 32), ("nodes", 96),
                        ("targets", 26000), ("running", 104000),
                        ("rate", 10), ("rate", 200), ("objects", 10000)):
        m = Model(fits, dict(given, **({name: value} if name else {})))
        s = m.sums()
        n = m.a["nodes"]
        line([f"{name} = {value:,}" if name else "nothing", f"{s[0]:.1f}",
              f"{s[1]:,.0f}", f"{s[2]:,.0f}", f"{s[3] * n:,.0f}",
              f"{s[4] * n:,.0f}"])


def dc_fails(m):
    """One-time work of the other nodes after the loss of one of 16 data centres."""
    n = m.a["nodes"]
    vms = WORKERS + m.a["targets"]
    left = n * (DCS - 1) / DCS
    row = m.fit("pool rows", "bytes", vms) / POOLS
    tasks = m.a["running"] / DCS
    print()
    line(["work", "rows written", "at 300 rows/s", "reads",
          "at 1,500 reads/s", "bytes read by a node"])
    line(["---"] * 6)
    for what, rows, reads, size in (
            ("members marked failed in all pools", 2 * POOLS, POOLS * left,
             POOLS * row),
            ("failed members removed", 2 * POOLS, POOLS * left, POOLS * row),
            ("buckets taken over", m.a["running"] / 48 / DCS,
             m.a["running"] / 48 / DCS, 0),
            ("lost tasks started again", ROWS_PER_RESTART * tasks, tasks, 0),
            ("grants of the lost nodes marked, then freed", 2 * TEAMS,
             2 * TEAMS, 2 * TEAMS * m.fit("team row", "bytes", n) / left)):
        line([what, f"{rows:,.0f}", f"{rows / 300:.1f} s", f"{reads:,.0f}",
              f"{reads / 1500:.1f} s", f"{size / 1e6:.2f} MB"])


def main():
    folder = sys.argv[1] if len(sys.argv) > 1 else "build/plain/bench"
    given = {k: float(v) for k, v in
             (x.split("=") for x in sys.argv[2:])}
    fits = read_fits(folder)
    m = Model(fits, given)
    steady(m)
    dc_fails(m)
    sensitivity(fits, given)


if __name__ == "__main__":
    main()
