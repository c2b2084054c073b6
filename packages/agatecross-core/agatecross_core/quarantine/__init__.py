"""Detection of requests that crash upstreams."""
