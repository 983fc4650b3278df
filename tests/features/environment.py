"""Hooks of behave for all features."""

from hypothesis import HealthCheck, settings

# A fixed derivation of examples gives the same verdict on every run.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")


def before_feature(context, feature):
    """Give the scenarios of a feature a place for what they share."""
    context.shared = {}
