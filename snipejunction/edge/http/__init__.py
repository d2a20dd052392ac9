"""HTTP API of callers, upstreams, operators and the platform."""
