"""Seeds that have failed before and are run again with every change."""

REGRESSION_SEEDS: dict[int, str] = {
    2: "hung at its end: asyncio.wait_for lost a cancellation while a connection was opened",
    102: "all daemons were killed after a leave was confirmed and a heartbeat undid the drain",
    304: "SIGTERM arrived before the daemon had installed its handlers and ended it with code -15",
    402: "own latencies were sent without fractions, so each daemon left the store to others",
    403: "SIGHUP arrived before the daemon had installed its handlers and ended it with code -1",
    406: "a leave before the first heartbeat of its upstream was confirmed but not kept",
    819: "the check judged daemons that were killed after an answer had announced the leave",
    2006: "the check judged daemons that began to stop before an answer had announced the leave",
}
"""Cause of the failure by seed; each seed ran for 10 s."""
