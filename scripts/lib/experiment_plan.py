"""Reads and checks the plan of an experiment."""

import dataclasses
import itertools
import pathlib
import re
import tomllib


class PlanError(Exception):
    """The plan is malformed or names something that does not exist."""


@dataclasses.dataclass(frozen=True)
class Variant:
    """One state of the code: a commit, then a patch, then changed settings."""
    name: str
    commit: str
    patch: pathlib.Path | None
    settings: tuple  # Of (file, section, key, value).


@dataclasses.dataclass(frozen=True)
class Run:
    """One day of one site, played by one variant with one seed."""
    variant: Variant
    site: pathlib.Path
    day: str
    seed: int  # 0: the day's own.

    def key(self):
        return (self.variant.name, self.site.stem, self.day, str(self.seed))


@dataclasses.dataclass(frozen=True)
class Plan:
    why: str
    variants: tuple  # The first one is the baseline.
    days: tuple      # Of (site, day, seeds).

    def runs(self):
        """All runs; those of one day and seed follow each other."""
        return [Run(variant, site, day, seed)
                for site, day, seeds in self.days
                for seed, variant in itertools.product(seeds, self.variants)]


def read(path, sites):
    """Returns the Plan in the file; sites is the directory of the site files."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise PlanError(str(error)) from error
    known = {"why", "variants", "days"}
    if set(table) != known:
        raise PlanError(f"needs just the keys {', '.join(sorted(known))}")
    variants = tuple(read_variant(entry, path.parent)
                     for entry in table["variants"])
    names = [variant.name for variant in variants]
    if not names or len(set(names)) != len(names):
        raise PlanError("variants need names that differ")
    days = tuple(day for entry in table["days"]
                 for day in read_days(entry, sites))
    return Plan(table["why"], variants, days)


def read_variant(entry, directory):
    name = entry.get("name", "")
    if not re.fullmatch(r"[a-z0-9-]+", name):
        raise PlanError(f"variant '{name}': a name has only a-z, 0-9 and -")
    unknown = set(entry) - {"name", "commit", "patch", "settings"}
    if unknown:
        raise PlanError(f"variant '{name}': unknown {', '.join(unknown)}")
    patch = None
    if "patch" in entry:
        patch = (directory / entry["patch"]).resolve()
        if not patch.is_file():
            raise PlanError(f"variant '{name}': no patch {entry['patch']}")
    settings = tuple((file, section, key, str(value))
                     for file, sections in entry.get("settings", {}).items()
                     for section, keys in sections.items()
                     for key, value in keys.items())
    return Variant(name, entry.get("commit", "HEAD"), patch, settings)


def read_days(entry, sites):
    """Yields (site, day, seeds); without days all standard ones are meant."""
    site = sites / entry["site"]
    if not site.is_file():
        raise PlanError(f"no site file {entry['site']}")
    standard = [day["name"] for day in tomllib.loads(site.read_text())["day"]]
    days = entry.get("days", standard)
    unknown = set(days) - set(standard)
    if unknown:
        raise PlanError(f"{site.stem} has no day {', '.join(sorted(unknown))}")
    seeds = entry.get("seeds", [0])
    if not seeds or not all(isinstance(seed, int) for seed in seeds):
        raise PlanError(f"{site.stem}: seeds are whole numbers")
    return [(site, day, tuple(seeds)) for day in days]
