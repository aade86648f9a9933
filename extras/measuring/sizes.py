"""Sizes that several measurements share."""

# A design-size service; 8,000 upstreams make 91 of them.
UPSTREAMS_PER_SERVICE = 88
# Enough that a service's calls never wait for a slot, so that only processing is measured.
SLOTS = 16
MAX_CONNECTIONS = 64
