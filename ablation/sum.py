"""Prints the mean worth of the played days in a folder, by site, and the rules that broke."""

import json
import pathlib
import statistics
import sys

name, folder = sys.argv[1], pathlib.Path(sys.argv[2])
sites, broken = {}, []
for path in sorted(folder.glob("*.json")):
    day = json.loads(path.read_text())
    site = path.stem.rsplit("-", 3)[0]
    sites.setdefault(site, []).append(day["G"])
    if day["breaks"] or day["fault"] or day["short"]:
        broken.append(f"{path.stem}: {', '.join(day['breaks']) or day['fault'] or day['short'][0]}")
means = " | ".join(f"{site} {statistics.mean(rows):.3f}" for site, rows in sorted(sites.items()))
print(f"| {name} | {means} | {'; '.join(broken) or '-'} |", flush=True)
