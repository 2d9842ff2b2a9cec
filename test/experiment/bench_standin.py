#!/usr/bin/env python3
"""Stand-in of the operators' bench: answers `build` and `run`, plays nothing.

Worth is 0.5, more with a larger `sum` in the settings under deploy/, and a
little more with a larger seed.
"""

import json
import pathlib
import sys


def option(name, default=None):
    return sys.argv[sys.argv.index(name) + 1] if name in sys.argv else default


def main():
    settings = pathlib.Path("deploy/balancer.ini").read_text()
    if sys.argv[1] == "build":
        sys.exit("it does not compile" if "broken" in settings else 0)
    gain = 0.25 if "sum = 2" in settings else 0.0
    seed = int(option("--seed", "0"))
    kind = {"name": "feed", "n": 10, "in_aim": 7, "late": 2, "refused": 0,
            "failed": 1}
    report = {"G": 0.5 + gain + seed / 1000, "prices": [["machines", 9, 0.08]],
              "parts": [["whole day", 0.75, 0.9], ["worst windows", 0.15, 0.6]],
              "all": kind, "classes": [kind], "breaks": {}, "fault": None}
    pathlib.Path(option("--report")).write_text(json.dumps(report))
    entry = pathlib.Path("journal") / f"{sys.argv[3]}-{seed}.json"
    entry.parent.mkdir(exist_ok=True)
    entry.write_text("{}")
    print("snapshot 12ab34cd")


main()
