"""SWIM membership of the daemons, and the state of the upstreams next to them."""
