"""Hooks of behave for all features."""

from hypothesis import HealthCheck, settings

# Derandomized examples give the same result on every run.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def before_feature(context, feature):
    """Provide a dict for state that the scenarios of a feature share."""
    context.shared = {}
