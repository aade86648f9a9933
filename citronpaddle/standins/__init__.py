"""Small stand-ins for platform services and upstreams, for tests, the demo and experiments."""
