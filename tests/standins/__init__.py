"""Stand-ins for the external systems that hemlockspoke talks to."""
