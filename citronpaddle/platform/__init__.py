"""Adapters to the users' platform: settings, store client, documents and HTTP headers."""
