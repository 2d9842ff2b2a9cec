"""Builds the variants of an experiment and plays its runs on the bench."""

import json
import pathlib
import re
import shutil
import subprocess

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

# Terms of `parts` in the bench's report that become columns of the results.
PARTS = {"whole day": "whole_day", "worst windows": "worst_windows",
         "worst class": "worst_kind", "worst zone": "worst_zone"}


def prepare(variant, arguments):
    """Clones and builds a variant once; returns an error text or None."""
    clone = clone_of(variant, arguments.out)
    built = clone.parent / f"{variant.name}.built"
    if built.exists():
        return None
    shutil.rmtree(clone, ignore_errors=True)
    clone.parent.mkdir(parents=True, exist_ok=True)
    commit = resolve(variant.commit)
    if commit is None:
        return f"no commit {variant.commit}"
    commands = [["git", "clone", "-q", str(REPOSITORY), str(clone)],
                ["git", "-C", str(clone), "checkout", "-q", commit]]
    if variant.patch:
        commands.append(["git", "-C", str(clone), "apply", str(variant.patch)])
    for command in commands:
        outcome = subprocess.run(command, capture_output=True, text=True)
        if outcome.returncode != 0:
            return outcome.stderr.strip()
    try:
        apply_settings(clone, variant.settings)
    except (OSError, KeyError) as error:
        return f"settings: {error}"
    outcome = subprocess.run([str(arguments.bench.resolve()), "build"],
                             cwd=clone, capture_output=True, text=True)
    if outcome.returncode != 0:
        return (outcome.stdout + outcome.stderr).strip()[-2000:]
    built.touch()
    return None


def clone_of(variant, out):
    return out.resolve() / "clones" / variant.name


def resolve(commit):
    outcome = subprocess.run(
        ["git", "-C", str(REPOSITORY), "rev-parse", "--verify", "-q",
         f"{commit}^{{commit}}"], capture_output=True, text=True)
    return outcome.stdout.strip() or None


def apply_settings(clone, settings):
    """Changes or adds `key = value` in a section of a settings template."""
    for file, section, key, value in settings:
        path = clone / file
        lines = path.read_text().splitlines()
        if f"[{section}]" not in lines:
            raise KeyError(f"no section {section} in {file}")
        start = lines.index(f"[{section}]") + 1
        end = next((i for i in range(start, len(lines))
                    if lines[i].startswith("[")), len(lines))
        kept = [line for line in lines[start:end]
                if line.split("=")[0].strip() != key]
        lines[start:end] = [f"{key} = {value}"] + kept
        path.write_text("\n".join(lines) + "\n")


def play(run, plan, arguments):
    """Plays one run; returns (result, None) or (None, error text)."""
    clone = clone_of(run.variant, arguments.out)
    output = arguments.out.resolve() / "reports" / "_".join(run.key())
    output.parent.mkdir(parents=True, exist_ok=True)
    report = output.with_suffix(".json")
    report.unlink(missing_ok=True)
    command = [str(arguments.bench.resolve()), "run", str(run.site.resolve()),
               run.day, "--report", str(report), "--why",
               f"{plan.why}; variant {run.variant.name}"]
    if run.seed:
        command += ["--seed", str(run.seed)]
    outcome = subprocess.run(command, cwd=clone, capture_output=True, text=True)
    text = outcome.stdout + outcome.stderr
    output.with_suffix(".txt").write_text(text)
    if not report.exists():
        return None, text.strip()[-400:]
    keep_journal(clone)
    return read_result(run, json.loads(report.read_text()), text), None


def keep_journal(clone):
    """Copies the clone's journal entries into this repository."""
    for entry in (clone / "journal").rglob("*"):
        target = REPOSITORY / entry.relative_to(clone)
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)


def read_result(run, report, text):
    """Returns a row of the results from the bench's report and output."""
    variant, site, day, seed = run.key()
    snapshot = re.search(r"^snapshot (\w+)", text, re.MULTILINE)
    total = report["all"]
    row = {"variant": variant, "site": site, "day": day, "seed": seed,
           "worth": report["G"], "prices": sum(p[2] for p in report["prices"]),
           "asked": total["n"], "in_aim": total["in_aim"],
           "late": total["late"], "refused": total["refused"],
           "failed": total["failed"],
           "broken": " ".join(sorted(report["breaks"])),
           "fault": report["fault"] or "",
           "journal": snapshot.group(1) if snapshot else ""}
    for name, _, value in report["parts"]:
        if name in PARTS:
            row[PARTS[name]] = value
    row["kinds"] = " ".join(
        f"{k['name']}={k['in_aim']}/{k['late']}/{k['refused']}/{k['failed']}"
        for k in report["classes"])
    return row
