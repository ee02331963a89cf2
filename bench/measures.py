#!/usr/bin/env python3
"""Runs measures_bench, prints its table and draws it.

usage: measures.py PROGRAM SVG
"""

import subprocess
import sys
from typing import NamedTuple

AIM = {0: "", 1: "not worse", 2: "twice as good"}
LEFT = 250  # width of the names, pixels
WIDTH = 420  # width of the baseline's bar
ROW = 34
COLOURS = {"baseline": "#9aa5b1", "system": "#1f6f8b"}


class Line(NamedTuple):
    """A measure of one deployment; less is better."""

    deployment: str
    measure: str
    unit: str
    weight: int
    baseline: float
    system: float

    @property
    def reached(self):
        """True if the aim for its weight is reached; None without an aim."""
        if not self.weight:
            return None
        return self.system * self.weight <= self.baseline

    @property
    def verdict(self):
        """The aim and, where it is missed, by how much."""
        if self.weight == 0:
            return "for information"
        text = AIM[self.weight]
        if self.reached:
            return text + ": reached"
        most = self.baseline / self.weight
        return "%s: MISSED by %.3g (at most %.3g)" % (
            text, self.system - most, most)


def read(program):
    """Lines of the program; its failure ends this one."""
    out = subprocess.run([program], stdout=subprocess.PIPE, text=True,
                         check=True).stdout
    lines = []
    for text in out.splitlines():
        f = text.split("\t")
        lines.append(Line(f[0], f[1], f[2], int(f[3]), float(f[4]),
                          float(f[5])))
    return lines


def factor(line):
    """Baseline over system, in words."""
    if line.system:
        return "%.2f" % (line.baseline / line.system)
    return "-" if not line.baseline else "all"


def table(lines):
    """The table as Markdown."""
    rows = ["| deployment | measure | unit | baseline | system | factor | aim |",
            "|---|---|---|---|---|---|---|"]
    for x in lines:
        rows.append("| %s | %s | %s | %.4g | %.4g | %s | %s |" % (
            x.deployment, x.measure, x.unit, x.baseline, x.system, factor(x),
            x.verdict))
    return "\n".join(rows)


def bar(y, part, colour):
    """A bar; parts over 1.5 are cut there."""
    return '<rect x="%d" y="%d" width="%.1f" height="11" fill="%s"/>' % (
        LEFT, y, min(part, 1.5) * WIDTH, colour)


def label(x, y, text, more=""):
    """Text at a position."""
    return '<text x="%.1f" y="%d" %s>%s</text>' % (x, y, more, text)


def rows_of(x, y):
    """Both bars of a measure, in parts of the larger value or baseline."""
    scale = x.baseline or x.system or 1
    ends = LEFT + WIDTH + 8
    out = [label(LEFT - 8, y + 15, "%s (%s)" % (x.measure, x.unit),
                 'text-anchor="end"')]
    for i, (name, value) in enumerate((("baseline", x.baseline),
                                       ("system", x.system))):
        part = value / scale
        out.append(bar(y + 12 * i, part, COLOURS[name]))
        out.append(label(max(LEFT + min(part, 1.5) * WIDTH + 4, LEFT + 4),
                         y + 10 + 12 * i, "%.4g" % value))
    if x.weight:
        out.append(label(ends + 290, y + 15, x.verdict,
                         'fill="%s"' % ("#2b7a3d" if x.reached else "#b3261e")))
    return out


def draw(lines):
    """The plot: bars in parts of the baseline, less is better."""
    body = []
    y = 40
    last = None
    for x in lines:
        if x.deployment != last:
            body.append(label(8, y + 14, x.deployment, 'font-weight="bold"'))
            y += 22
            last = x.deployment
        body += rows_of(x, y)
        y += ROW
    head = ['<svg xmlns="http://www.w3.org/2000/svg" width="1300" height="%d" '
            'font-family="sans-serif" font-size="11">' % (y + 10),
            '<rect width="100%" height="100%" fill="white"/>',
            label(8, 20, "Users' measures: baseline (grey) and system (blue), "
                  "in parts of the baseline, less is better", 'font-size="14"')]
    return "\n".join(head + body + ["</svg>"]) + "\n"


def main():
    """Table to standard output, plot to the file."""
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    lines = read(sys.argv[1])
    print(table(lines))
    with open(sys.argv[2], "w", encoding="utf-8") as f:
        f.write(draw(lines))


if __name__ == "__main__":
    main()
