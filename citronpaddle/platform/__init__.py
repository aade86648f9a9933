"""Translates between the product and the users' platform: settings, store, documents and HTTP."""
