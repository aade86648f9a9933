"""citronpaddle: a query tier between callers and sharded upstreams."""
