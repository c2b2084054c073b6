"""Pipeline of filters that chooses the upstream for a call to a service."""
