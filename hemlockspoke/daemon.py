"""The daemon: wiring, start and graceful stop."""


def main():
    """Run the daemon."""
