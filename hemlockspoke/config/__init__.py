"""Settings, documents and the configuration in force."""
