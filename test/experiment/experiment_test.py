"""Tests of scripts/experiment, with a stand-in of the bench."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts" / "lib"))

import experiment_plan as plans  # noqa: E402
import experiment_report as report  # noqa: E402

PLAN = """
why = "Try"
[[variants]]
name = "base"
[[variants]]
name = "more"
[variants.settings."deploy/balancer.ini".relay]
sum = 2
[[days]]
site = "small.toml"
days = ["quiet-1", "trouble-1"]
seeds = [1, 2]
"""
SITE = '[[day]]\nname = "quiet-1"\n[[day]]\nname = "trouble-1"\n'


class Workplace(unittest.TestCase):
    """A directory with a plan, a site file and a repository of its own."""

    def setUp(self):
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.path = pathlib.Path(holder.name)
        (self.path / "small.toml").write_text(SITE)

    def write_plan(self, text=PLAN):
        (self.path / "plan.toml").write_text(text)
        return self.path / "plan.toml"


class PlanTest(Workplace):
    def read(self, text):
        return plans.read(self.write_plan(text), self.path)

    def test_runs_of_a_day_and_seed_follow_each_other(self):
        keys = [run.key() for run in self.read(PLAN).runs()]
        self.assertEqual(8, len(keys))
        self.assertEqual([("base", "small", "quiet-1", "1"),
                          ("more", "small", "quiet-1", "1")], keys[:2])

    def test_all_standard_days_are_played_unless_some_are_named(self):
        plan = self.read(PLAN.replace('days = ["quiet-1", "trouble-1"]', ""))
        self.assertEqual(["quiet-1", "trouble-1"], [d[1] for d in plan.days])

    def test_what_is_not_there_is_an_error(self):
        for old, new in [("quiet-1", "quiet-9"), ("small.toml", "none.toml"),
                         ('name = "more"', 'name = "base"'),
                         ('name = "more"', 'name = "more"\npatch = "no.patch"'),
                         ("seeds = [1, 2]", "seeds = []"),
                         ('why = "Try"', "")]:
            with self.assertRaises(plans.PlanError):
                self.read(PLAN.replace(old, new))


class ReportTest(unittest.TestCase):
    def test_interval_holds_the_mean(self):
        import random
        low, high = report.bootstrap_interval([1.0, 2.0, 3.0], random.Random(1))
        self.assertLess(low, 2.0)
        self.assertGreater(high, 2.0)


class ExperimentTest(Workplace):
    """Runs the whole script in a copy of it, in a repository of its own."""

    def setUp(self):
        super().setUp()
        repository = self.path / "repository"
        (repository / "deploy").mkdir(parents=True)
        (repository / "deploy" / "balancer.ini").write_text("[relay]\na = 1\n")
        subprocess.run(["cp", "-r", str(ROOT / "scripts"), str(repository)],
                       check=True)
        for command in (["init", "-q"], ["add", "deploy"],
                        ["-c", "user.name=t", "-c", "user.email=t@localhost",
                         "commit", "-q", "-m", "start"]):
            subprocess.run(["git", "-C", str(repository), *command], check=True)

    def run_script(self, plan, *more):
        return subprocess.run(
            [sys.executable, str(self.path / "repository/scripts/experiment"),
             str(plan), "--bench",
             str(ROOT / "test/experiment/bench_standin.py"), "--sites",
             str(self.path), "--out", str(self.path / "out"), *more],
            capture_output=True, text=True)

    def test_paired_differences_are_reported(self):
        outcome = self.run_script(self.write_plan())
        self.assertEqual(0, outcome.returncode, outcome.stderr)
        summary = (self.path / "out/summary.md").read_text()
        self.assertIn("| small | 4 | +0.2500 [+0.2500, +0.2500] |", summary)
        self.assertIn("feed=7/2/0/1", summary)
        self.assertIn("<circle", (self.path / "out/differences.svg").read_text())

    def test_finished_runs_are_not_played_again(self):
        plan = self.write_plan()
        self.run_script(plan)
        self.assertIn("0 runs to play, 8 in the results",
                      self.run_script(plan).stdout)

    def test_broken_build_fails_its_variant_alone(self):
        outcome = self.run_script(
            self.write_plan(PLAN.replace("sum = 2", 'sum = "broken"')))
        self.assertEqual(1, outcome.returncode)
        self.assertIn("FAILED more: it does not compile", outcome.stderr)
        self.assertEqual(4, len(report.read_results(self.path / "out")))

    def test_journal_entries_come_back(self):
        self.run_script(self.write_plan())
        self.assertTrue(
            (self.path / "repository/journal/quiet-1-1.json").exists())


if __name__ == "__main__":
    unittest.main()
