"""Adapters to HTTP, thrift, the platform and the operating system process."""
