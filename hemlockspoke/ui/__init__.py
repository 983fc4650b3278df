"""The command line for operators."""


def main():
    """Run the command line."""
