"""Connections between daemons go silent; the configuration changes when all are in touch again."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    Backend,
    Consumer,
    Link,
    Machine,
    Store,
    check_running,
    config,
    run,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Name, zone, region, service and one-way seconds to the store, which stands in marmara.
SITES = (
    ("m1", "bursa-a", "marmara", "vitrin", 0.001),
    ("m2", "bursa-b", "marmara", "defter", 0.001),
    ("e1", "denizli-a", "ege", "vitrin", 0.008),
    ("e2", "denizli-b", "ege", "defter", 0.008),
)
CONFIG_APPLY = 2.0
STABILITY_WINDOW = 3.0
SILENCE_AT = float(os.environ.get("SILENCE_AT", "21"))
CHANGE_AFTER = STABILITY_WINDOW + 0.6
OBSERVED = 12.0
# Given to the daemons' sockets by the product itself (frames.py).
USER_TIMEOUT = 5.0


async def consume(consumer, path, rng, rows, end):
    """Send requests a few times a second."""
    while consumer.record.now() < end:
        rows.append(await consumer.send("GET", path, 800))
        await asyncio.sleep(rng.expovariate(1 / 0.15))
    consumer.close()


async def main(record, files):
    """Play the case; return 1 if the rule was broken, else 0."""
    rng = random.Random(2)
    store = Store()
    await store.start()
    old = ("/catalogue/", "safe", "vitrin", "800ms", 2)
    new = ("/catalogue/", "safe", "defter", "800ms", 2)
    other = ("/reports/", "safe", "defter", "800ms", 2)
    store.put("keyed.op", "config", config(1, [old, other]))
    machines, links, stores, beats, backends = [], [], [], [], []
    for name, zone, region, service, delay in SITES:
        backend = Backend(f"i-{name}", service, record, slots=12, work=0.03)
        await backend.start()
        backends.append(backend)
        store_link = Link(delay)
        await store_link.start(store.address)
        machine = Machine(name, zone, region, backend, store_link.address, files, record)
        peers_link = Link(0.0, USER_TIMEOUT)
        await peers_link.start(machine.listen["inbound"])
        machine.announced = peers_link.address
        stores.append(store_link)
        links.append(peers_link)
        machines.append(machine)
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            if not await machine.wait_ready():
                raise RuntimeError("a daemon is not ready")
            control = machine.listen["control"]
            beats.append(asyncio.ensure_future(machine.backend.beat(control)))
        started = record.now()
        await asyncio.sleep(2.0)
        rows = []
        end = started + SILENCE_AT + CHANGE_AFTER + OBSERVED
        clients = [
            Consumer(f"{machine.name}c{number}", machine, record)
            for machine in machines
            for number in range(2)
        ]
        # As the service has a backend in each zone, the requests stay in their zone.
        paths = {"vitrin": "/catalogue/1", "defter": "/reports/1"}
        tasks = [
            asyncio.ensure_future(
                consume(client, paths[client.machine.backend.service], rng, rows, end)
            )
            for client in clients
        ]
        await asyncio.sleep(started + SILENCE_AT - record.now())
        if TROUBLE:
            count = sum(link.silence() for link in links)
            record.write("connections_silent", count=count)
        await asyncio.sleep(CHANGE_AFTER)
        store.put("keyed.op", "config", config(2, [new, other]))
        confirmed = record.now()
        record.write("configuration_confirmed", version="r2")
        await asyncio.gather(*tasks)
        check_running(machines)
        late = [
            row
            for row in rows
            if row["sent"] > confirmed + CONFIG_APPLY and row["path"] == "/catalogue/1"
        ]
        old_backends = [b.instance.encode() for b in backends if b.service == "vitrin"]
        stale = [row for row in late if row["body"].split(b" ")[0] in old_backends]
        for machine in machines:
            found = [row for row in stale if row["id"].startswith(machine.name)]
            last = max((row["sent"] - confirmed for row in found), default=0.0)
            record.write("stale", machine=machine.name, requests=len(found), until=f"{last:.2f}s")
        served = sum(row["status"] == 200 for row in late)
        record.write("late_requests", sent=len(late), served=served, run_by_old=len(stale))
        if served < len(late) / 2:
            raise RuntimeError("too little was served")
        return 1 if stale else 0
    finally:
        for beat in beats:
            beat.cancel()
        for machine in machines:
            machine.end()
            if os.environ.get("KEEP"):
                log = Path(files) / f"{machine.name}.log"
                (FOLDER / log.name).write_bytes(log.read_bytes())
        for closing in (*links, *stores, *backends, store):
            closing.close()


run(main, FOLDER)
