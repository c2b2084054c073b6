"""Relays complete requests between daemons: retry flow, handover ledger and retry budget."""
