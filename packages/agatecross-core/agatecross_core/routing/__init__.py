"""Pipeline of filters from a service to the upstream that gets the call."""
