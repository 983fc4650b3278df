"""The query tier: routes, upstreams, and requests sent directly to servers."""
