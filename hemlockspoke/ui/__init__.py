"""The command line for operators."""


def main():
    """Run the command line."""
    # Imported here, so that importing this package stays fast.
    from hemlockspoke.ui.application import application

    application()
