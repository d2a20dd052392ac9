"""Stand-in upstreams: HTTP searchers over a generated toy catalogue."""
