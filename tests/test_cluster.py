"""Tests of the set-up of scenarios."""

import cluster


def test_a_port_is_found_only_once(monkeypatch):
    """Guards against two instances that get the same port before either of them listens on it."""
    monkeypatch.setattr(cluster, "LISTEN_PORTS", (31_900, 31_999))
    ports = [cluster.find_port() for _ in range(60)]
    assert len(set(ports)) == 60
