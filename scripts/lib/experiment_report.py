"""Keeps the results of an experiment and writes its tables and plot."""

import csv
import random
import statistics

COLUMNS = ["variant", "site", "day", "seed", "worth", "whole_day",
           "worst_windows", "worst_kind", "worst_zone", "prices", "asked",
           "in_aim", "late", "refused", "failed", "broken", "fault", "journal",
           "kinds"]

# Columns whose paired differences are shown, with their number of digits.
COMPARED = {"worth": 4, "whole_day": 4, "worst_windows": 3, "worst_kind": 3,
            "prices": 4, "refused": 0, "failed": 0, "late": 0}

RESAMPLES = 2000
CONFIDENCE = 0.90

PLOT_WIDTH = 720   # Pixels, as the others.
ROW_HEIGHT = 18
LABEL_WIDTH = 260
MARGIN = 20


def key_of(row):
    return tuple(row[name] for name in COLUMNS[:4])


def read_results(out):
    """Returns the rows of OUT/results.csv by (variant, site, day, seed)."""
    path = out / "results.csv"
    if not path.exists():
        return {}
    with path.open(newline="") as file:
        return {key_of(row): row for row in csv.DictReader(file)}


def append_result(out, row):
    path = out / "results.csv"
    is_new = not path.exists()
    with path.open("a", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS, restval="")
        if is_new:
            writer.writeheader()
        writer.writerow(row)


def bootstrap_interval(values, generator):
    """Returns the interval of the mean by resampling with replacement."""
    means = sorted(statistics.fmean(generator.choices(values, k=len(values)))
                   for _ in range(RESAMPLES))
    tail = (1 - CONFIDENCE) / 2
    return means[int(tail * RESAMPLES)], means[int((1 - tail) * RESAMPLES) - 1]


def differences(plan, results, variant, column):
    """Returns {(site, day, seed): variant - baseline} of the paired runs."""
    baseline = plan.variants[0].name
    found = {}
    for key, row in results.items():
        other = results.get((baseline,) + key[1:])
        if key[0] != variant or other is None or not row.get(column):
            continue
        if other.get(column):
            found[key[1:]] = float(row[column]) - float(other[column])
    return found


def write_summary(out, plan, results):
    """Writes OUT/summary.md and OUT/differences.svg."""
    lines = [f"# {plan.why}", "", *means_table(plan, results)]
    for variant in plan.variants[1:]:
        lines += ["", *difference_table(plan, results, variant.name)]
    lines += ["", *runs_table(plan, results)]
    (out / "summary.md").write_text("\n".join(lines) + "\n")
    (out / "differences.svg").write_text(plot(plan, results))


def means_table(plan, results):
    """A line a site and variant: means over the days that are not quiet."""
    lines = ["| site | variant | runs | worth | whole day | worst windows | "
             "failed | refused | late | rules broken |",
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"]
    for site in dict.fromkeys(site.stem for site, _, _ in plan.days):
        for variant in plan.variants:
            rows = [row for row in results.values()
                    if row["variant"] == variant.name and row["site"] == site
                    and not row["day"].startswith("quiet")]
            if not rows:
                continue
            cells = [f"{mean_of(rows, 'worth'):.4f}",
                     f"{mean_of(rows, 'whole_day'):.4f}",
                     f"{mean_of(rows, 'worst_windows'):.3f}",
                     f"{mean_of(rows, 'failed'):.0f}",
                     f"{mean_of(rows, 'refused'):.0f}",
                     f"{mean_of(rows, 'late'):.0f}",
                     " ".join(r["broken"] for r in rows if r["broken"]) or "-"]
            lines.append(f"| {site} | {variant.name} | {len(rows)} | "
                         + " | ".join(cells) + " |")
    return lines


def mean_of(rows, column):
    return statistics.fmean(float(row[column] or 0) for row in rows)


def difference_table(plan, results, variant):
    """A line a site: mean of each paired difference, and its interval."""
    generator = random.Random(1)
    lines = [f"## {variant} against {plan.variants[0].name}", "",
             "Means of the paired differences; in brackets the "
             f"{CONFIDENCE:.0%} interval.", "",
             "| site | pairs | " + " | ".join(COMPARED) + " |",
             "| --- " * (len(COMPARED) + 2) + "|"]
    for site in dict.fromkeys(site.stem for site, _, _ in plan.days):
        cells = []
        pairs = 0
        for column, digits in COMPARED.items():
            values = [value for key, value in differences(
                plan, results, variant, column).items() if key[0] == site]
            pairs = max(pairs, len(values))
            cells.append(difference_cell(values, digits, generator))
        if pairs:
            lines.append(f"| {site} | {pairs} | " + " | ".join(cells) + " |")
    return lines


def difference_cell(values, digits, generator):
    if not values:
        return "-"
    low, high = bootstrap_interval(values, generator)
    return (f"{statistics.fmean(values):+.{digits}f} "
            f"[{low:+.{digits}f}, {high:+.{digits}f}]")


def runs_table(plan, results):
    """A line a run, with what each kind of request got."""
    lines = ["## Runs", "",
             "Kinds: in aim / late / refused / failed.", "",
             "| variant | site | day | seed | worth | kinds | broken | journal |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    for run in plan.runs():
        row = results.get(run.key())
        if row:
            lines.append("| " + " | ".join(
                [*run.key(), f"{float(row['worth']):.4f}", row["kinds"],
                 row["broken"] or row["fault"] or "-", row["journal"]]) + " |")
    return lines


def plot(plan, results):
    """Returns an SVG with a dot for each paired difference of worth."""
    rows = [(f"{variant.name} {site.stem} {day}",
             [value for key, value in differences(
                 plan, results, variant.name, "worth").items()
              if key[:2] == (site.stem, day)])
            for variant in plan.variants[1:] for site, day, _ in plan.days]
    rows = [row for row in rows if row[1]]
    largest = max((abs(v) for _, values in rows for v in values), default=0)
    scale = (PLOT_WIDTH - LABEL_WIDTH - 2 * MARGIN) / 2 / (largest or 1)
    zero = LABEL_WIDTH + (PLOT_WIDTH - LABEL_WIDTH) / 2
    height = ROW_HEIGHT * len(rows) + 3 * MARGIN
    shapes = [f'<line x1="{zero}" y1="{MARGIN}" x2="{zero}" '
              f'y2="{height - 2 * MARGIN}" stroke="black"/>']
    for i, (label, values) in enumerate(rows):
        y = MARGIN + ROW_HEIGHT * (i + 0.5)
        shapes.append(f'<text x="4" y="{y + 4}">{label}</text>')
        shapes += [f'<circle cx="{zero + value * scale:.1f}" cy="{y}" r="3" '
                   'fill="steelblue"/>' for value in values]
    shapes.append(f'<text x="{LABEL_WIDTH}" y="{height - MARGIN / 2}">'
                  f'difference of worth, from {-largest:.3f} to {largest:.3f}'
                  '</text>')
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH}" '
            f'height="{height}" font-family="sans-serif" font-size="11">\n'
            + "\n".join(shapes) + "\n</svg>\n")
