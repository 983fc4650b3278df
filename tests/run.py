"""Runs all features and prints the counts of passed and failed scenarios."""

import sys

from behave.__main__ import run_behave
from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"


def known_failures():
    """Return the names of the scenarios listed in KNOWN-RED.txt."""
    try:
        with open(KNOWN_FAILURES_FILE, encoding="utf-8") as file:
            lines = file.read().splitlines()
    except FileNotFoundError:
        return set()
    prefix = "scenario: "
    return {line[len(prefix) :] for line in lines if line.startswith(prefix)}


class CountingRunner(Runner):
    """Runner that keeps the features after the run to count their scenarios."""

    last_features = ()

    def run(self):
        any_failed = super().run()
        CountingRunner.last_features = self.features
        return any_failed


def print_failed_steps(scenario):
    """Print the failed steps of a scenario, which the progress format omits."""
    for step in scenario.all_steps:
        if step.status not in (Status.passed, Status.skipped, Status.untested):
            print(f"{step.filename}:{step.line}: {step.name}: {step.status.name}")
            print(step.error_message)


def main(arguments):
    """Run behave, report its scenarios and return the exit status."""
    config = Configuration(["--format=progress", *arguments, "tests/features"])
    run_behave(config, runner_class=CountingRunner)
    known_names = known_failures()
    passed, failed, expected_failures = 0, 0, []
    for feature in CountingRunner.last_features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
            elif scenario.status == Status.skipped:
                continue
            elif scenario.name in known_names:
                expected_failures.append(scenario.name)
                print_failed_steps(scenario)
            else:
                failed += 1
                print(f"FAILED: {feature.filename}: {scenario.name}")
                print_failed_steps(scenario)
    for name in expected_failures:
        print(f"known red, see {KNOWN_FAILURES_FILE}: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
