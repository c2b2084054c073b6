"""Membership of the fleet: SWIM probes, suspicion, leaving and gossip."""
