"""Sizes that several measurements share."""

# Upstreams of a service at the size that the system is designed for: 91 services of 88 upstreams
# make about 8,000.
UPSTREAMS_PER_SERVICE = 88
# Large enough that calls never wait for a slot, so that only processing is measured.
SLOTS = 16
MAX_CONNECTIONS = 64
