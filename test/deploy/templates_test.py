"""Tests of the settings templates and variables in deploy/.

The platform fills them in; so do the stand-ins of review/, each by its own code
and with the fields that it had when it was written.

Usage: templates_test.py PROGRAM, the path of briarfield-platform.
"""

import importlib.util
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

sys.dont_write_bytecode = True  # Nothing is written under review/

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
PLACEHOLDER = re.compile(r"{{([^}]*)}}")
PROGRAM = "briarfield-platform"  # Replaced by the first argument.

# Fields that some deployments give, and a value of each.
BOUNDS = {"Bounds.EvacuateMs": "4000", "Bounds.WarmupOvershoot": "1.5",
          "Bounds.WarmupSlack": "5", "Bounds.FlowMaxS": "45"}


def stand_in(folder):
    """The module world of a stand-in under review/."""
    path = ROOT / "review" / folder / "world.py"
    spec = importlib.util.spec_from_file_location(folder, path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def first_stand_in_text(role):
    """The template of a role as review/standin fills it in."""
    module = stand_in("standin")
    world = module.World(str(ROOT))
    shutil.rmtree(world.work)
    world.choose_ports()
    if role == "balancer":
        machine = world.edge("bagmati-a")
    else:
        machine = world.side("datum-live", "bagmati-a", [])
    template = (ROOT / ROLES[role]["template"]).read_text()
    return module.rendered(template, machine.process.fields)


def second_stand_in_values():
    """The fields of a process in review/standin-2."""
    world = stand_in("standin-2").World()
    shutil.rmtree(world.folder)
    return world.values("edge-10", 10, "z", (world.ip(1), world.store_port),
                        [10, 11], "datum-live")


def second_stand_in_text(role):
    """The template of a role as review/standin-2 fills it in."""
    return stand_in("standin-2").render(ROLES[role]["template"],
                                        second_stand_in_values())


def variables(role, fields):
    """The variables of a role; a field that is not given is left empty."""
    return {name: PLACEHOLDER.sub(lambda m: fields.get(m[1], ""), text)
            for name, text in ROLES[role].get("env", {}).items()}


def check(role, text, environment=None):
    """Runs the program's check of the settings; returns what it prints."""
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        file.write(text)
        file.flush()
        done = subprocess.run(
            [PROGRAM, "check-" + role, "--settings", file.name],
            env={"PATH": os.environ["PATH"], **(environment or {})},
            capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise AssertionError(f"{role}: {done.stderr}")
    return done.stdout


class TemplatesTest(unittest.TestCase):
    # Guards against the failure of review/6: a template named fields that the
    # stand-in did not give, so that no program started.
    def test_earlier_stand_ins_fill_in_the_templates(self):
        for text_of in first_stand_in_text, second_stand_in_text:
            for role in ROLES:
                with self.subTest(stand_in=text_of.__name__, role=role):
                    printed = check(role, text_of(role))
                    self.assertNotIn("{{", printed)
                    self.assertIn("max_flow_age_s = 60", printed)

    # The stand-ins start the words of run as they are.
    def test_no_word_of_run_is_a_placeholder(self):
        for role in ROLES:
            self.assertNotIn("{{", ROLES[role]["run"])

    def test_variables_set_the_bounds_of_a_deployment(self):
        for role, expected in (
                ("balancer", ["evacuation_bound_ms = 4000"]),
                ("agent", ["evacuation_bound_ms = 4000",
                           "warmup_overshoot = 1.5", "warmup_slack = 5",
                           "max_flow_age_s = 45"])):
            printed = check(role, second_stand_in_text(role),
                            variables(role, BOUNDS))
            for line in expected:
                with self.subTest(role=role, line=line):
                    self.assertIn(line + "\n", printed)

    def test_variables_may_be_empty_or_unfilled(self):
        for role in ROLES:
            text = second_stand_in_text(role)
            with self.subTest(role=role):
                expected = check(role, text)
                self.assertEqual(expected,
                                 check(role, text, variables(role, {})))
                self.assertEqual(expected,
                                 check(role, text, ROLES[role]["env"]))

    # A platform that gives only what a process can't do without.
    def test_fields_that_may_be_missing_leave_the_default(self):
        values = second_stand_in_values()
        for name in ("Region", "Seeds", "platform.WritesPerS",
                     "Bounds.ConfigApplyMs"):
            values[name] = ""
        for role in ROLES:
            with self.subTest(role=role):
                check(role, stand_in("standin-2").render(
                    ROLES[role]["template"], values))


if __name__ == "__main__":
    PROGRAM = sys.argv.pop(1)
    unittest.main()
