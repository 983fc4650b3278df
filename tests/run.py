"""Runs all features and closes with one line of counts."""

import sys

from behave.__main__ import run_behave
from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

KNOWN_RED_FILE = "KNOWN-RED.txt"


def known_red():
    """Return the names of scenarios that KNOWN-RED.txt lists."""
    try:
        with open(KNOWN_RED_FILE, encoding="utf-8") as handle:
            lines = handle.read().splitlines()
    except FileNotFoundError:
        return set()
    prefix = "scenario: "
    return {line[len(prefix) :] for line in lines if line.startswith(prefix)}


class CountingRunner(Runner):
    """Runner that keeps the features, so that scenarios can be counted."""

    last_features = ()

    def run(self):
        failed = super().run()
        CountingRunner.last_features = self.features
        return failed


def print_cause(scenario):
    """Print why a scenario did not pass, which the progress format leaves out."""
    for step in scenario.all_steps:
        if step.status not in (Status.passed, Status.skipped, Status.untested):
            print(f"{step.filename}:{step.line}: {step.name}: {step.status.name}")
            print(step.error_message)


def main(arguments):
    """Run behave and judge its scenarios; return the exit status."""
    config = Configuration(["--format=progress", *arguments, "tests/features"])
    run_behave(config, runner_class=CountingRunner)
    listed = known_red()
    passed, failed, red = 0, 0, []
    for feature in CountingRunner.last_features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
            elif scenario.status == Status.skipped:
                continue
            elif scenario.name in listed:
                red.append(scenario.name)
                print_cause(scenario)
            else:
                failed += 1
                print(f"FAILED: {feature.filename}: {scenario.name}")
                print_cause(scenario)
    for name in red:
        print(f"known red, see {KNOWN_RED_FILE}: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
