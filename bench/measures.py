#!/usr/bin/env python3
"""Runs measures_bench, prints the results as a table and draws a chart.

usage: measures.py PROGRAM SVG
"""

import subprocess
import sys
from typing import NamedTuple

GOALS = {0: "", 1: "not worse", 2: "twice as good"}
LABEL_WIDTH = 250  # pixels, as are the other sizes
BASELINE_WIDTH = 420
ROW_HEIGHT = 34
COLOURS = {"baseline": "#9aa5b1", "system": "#1f6f8b"}


class Line(NamedTuple):
    """A measure of one deployment; lower is better."""

    deployment: str
    measure: str
    unit: str
    weight: int
    baseline: float
    system: float

    @property
    def reached(self):
        """True if the goal for the weight is met; None without a goal."""
        if not self.weight:
            return None
        return self.system * self.weight <= self.baseline

    @property
    def verdict(self):
        """The goal and, if it is missed, by how much."""
        if self.weight == 0:
            return "for information"
        text = GOALS[self.weight]
        if self.reached:
            return text + ": reached"
        most = self.baseline / self.weight
        return "%s: MISSED by %.3g (at most %.3g)" % (
            text, self.system - most, most)


def read(program):
    """Runs the program and parses its output; raises an error if it fails."""
    out = subprocess.run([program], stdout=subprocess.PIPE, text=True,
                         check=True).stdout
    lines = []
    for text in out.splitlines():
        f = text.split("\t")
        lines.append(Line(f[0], f[1], f[2], int(f[3]), float(f[4]),
                          float(f[5])))
    return lines


def factor(line):
    """Ratio of baseline to system, as text."""
    if line.system:
        return "%.2f" % (line.baseline / line.system)
    return "-" if not line.baseline else "all"


def table(lines):
    """Formats the results as a Markdown table."""
    rows = ["| deployment | measure | unit | baseline | system | factor | aim |",
            "|---|---|---|---|---|---|---|"]
    for x in lines:
        rows.append("| %s | %s | %s | %.4g | %.4g | %s | %s |" % (
            x.deployment, x.measure, x.unit, x.baseline, x.system, factor(x),
            x.verdict))
    return "\n".join(rows)


def bar(y, part, colour):
    """A bar, cut off at 1.5 times the baseline."""
    return '<rect x="%d" y="%d" width="%.1f" height="11" fill="%s"/>' % (
        LABEL_WIDTH, y, min(part, 1.5) * BASELINE_WIDTH, colour)


def label(x, y, text, more=""):
    """An SVG text element."""
    return '<text x="%.1f" y="%d" %s>%s</text>' % (x, y, more, text)


def rows_of(x, y):
    """Bars of a measure, scaled to the baseline or, if it is 0, to the system."""
    scale = x.baseline or x.system or 1
    ends = LABEL_WIDTH + BASELINE_WIDTH + 8
    out = [label(LABEL_WIDTH - 8, y + 15, "%s (%s)" % (x.measure, x.unit),
                 'text-anchor="end"')]
    for i, (name, value) in enumerate((("baseline", x.baseline),
                                       ("system", x.system))):
        part = value / scale
        out.append(bar(y + 12 * i, part, COLOURS[name]))
        end = LABEL_WIDTH + min(part, 1.5) * BASELINE_WIDTH + 4
        out.append(label(max(end, LABEL_WIDTH + 4), y + 10 + 12 * i,
                         "%.4g" % value))
    if x.weight:
        out.append(label(ends + 290, y + 15, x.verdict,
                         'fill="%s"' % ("#2b7a3d" if x.reached else "#b3261e")))
    return out


def draw(lines):
    """Draws the chart as SVG, with bars relative to the baseline."""
    body = []
    y = 40
    last = None
    for x in lines:
        if x.deployment != last:
            body.append(label(8, y + 14, x.deployment, 'font-weight="bold"'))
            y += 22
            last = x.deployment
        body += rows_of(x, y)
        y += ROW_HEIGHT
    head = ['<svg xmlns="http://www.w3.org/2000/svg" width="1300" height="%d" '
            'font-family="sans-serif" font-size="11">' % (y + 10),
            '<rect width="100%" height="100%" fill="white"/>',
            label(8, 20, "Users' measures: baseline (grey) and system (blue), "
                  "in parts of the baseline, less is better", 'font-size="14"')]
    return "\n".join(head + body + ["</svg>"]) + "\n"


def main():
    """Prints the table to standard output and writes the chart to the file."""
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    lines = read(sys.argv[1])
    print(table(lines))
    with open(sys.argv[2], "w", encoding="utf-8") as f:
        f.write(draw(lines))


if __name__ == "__main__":
    main()
