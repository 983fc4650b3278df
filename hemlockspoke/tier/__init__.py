"""The query tier: routes callers' requests and sends them directly to servers."""
