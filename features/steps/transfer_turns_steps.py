import heapq
import math
import random

from behave import then, when

from agatecross_core.admission.slot_queue import RefuseHandover
from agatecross_core.ids import Millis
from agatecross_core.relay.transfer_turns import AnnouncedRequest, InviteRequest, TransferTurns

PACKET_BYTES = 1_500
SIZE_SPREAD = 0.6
OBJECTIVE, DEADLINE = 800, 4_000
DURATION_MS = 120_000


@when('on a link of {rate:d} Mbit/s these requests are announced: "{events}"')
def step_announce(context, rate, events):
    turns, now, context.answers = TransferTurns(rate), 0.0, []
    for event in events.split("; "):
        match event.split():
            case [time] if time.startswith("+"):
                now += float(time)
                continue
            case ["tick"]:
                actions = turns.invite_next(Millis(now))
            case ["end", name]:
                actions = turns.end(name, Millis(now))
            case [name, size, times]:
                objective, deadline = (Millis(now + float(time)) for time in times.split("/"))
                request = AnnouncedRequest(name, int(size), objective, deadline)
                actions = turns.announce(request, Millis(now))
        for action in actions:
            sign = "-" if isinstance(action, RefuseHandover) else "+"
            context.answers.append(action.handover_id + sign)


@then('the announcements are answered "{answers}"')
def step_answers(context, answers):
    assert context.answers == answers.split(), context.answers


@then("on a link of {rate:d} Mbit/s the announced size is {size:d}")
def step_size(context, rate, size):
    assert TransferTurns(rate).announce_above == size


class SendAtOnce:
    """The former policy: every sender sends its request at once."""

    def announce(self, request, now):
        yield InviteRequest(request.handover_id)

    def end(self, handover_id, now):
        yield from ()

    def next_invitation(self):
        return None


class SharedLink:
    """Replays uploads and short calls over one link in virtual time, packet by packet."""

    def __init__(self, policy, rate, uploads, short, size, round_trip, seed):
        self.round_trip = round_trip
        self.policy, self.packet_ms = policy, PACKET_BYTES / (rate * 125)
        rng = random.Random(seed)
        self.events, self.link_free_at = [], 0.0
        self.short_waits, self.upload_times = [], []
        self.uploads = {}
        for kind, per_second in (("upload", uploads), ("short", short)):
            now = 0.0
            while (now := now + rng.expovariate(per_second / 1000)) < DURATION_MS:
                number = len(self.events)
                if kind == "upload":
                    spread = rng.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
                    self.uploads[number] = (now, max(PACKET_BYTES, size * spread))
                self.events.append((now, number, kind))
        heapq.heapify(self.events)

    def run(self):
        while self.events:
            now, number, kind = heapq.heappop(self.events)
            if kind == "turn":
                self.act(self.policy.invite_next(Millis(now)), now)
            elif kind == "short":
                self.short_waits.append(self.transmit(now) - now)
            elif kind == "upload":
                at, size = self.uploads[number]
                request = AnnouncedRequest(number, int(size), at + OBJECTIVE, at + DEADLINE)
                self.act(self.policy.announce(request, now), now)
            elif kind == "last packet":
                self.upload_times.append(now - self.uploads[number][0])
                self.act(self.policy.end(number, now), now)
            else:
                arrived = self.transmit(now)
                if kind > 1:
                    # The sender's own link takes one packet after the other.
                    heapq.heappush(self.events, (now + self.packet_ms, number, kind - 1))
                else:
                    heapq.heappush(self.events, (arrived, number, "last packet"))
        return self

    def transmit(self, now):
        self.link_free_at = max(self.link_free_at, now) + self.packet_ms
        return self.link_free_at

    def act(self, actions, now):
        for action in actions:
            if isinstance(action, InviteRequest):
                packets = max(1, round(self.uploads[action.handover_id][1] / PACKET_BYTES))
                event = (now + self.round_trip, action.handover_id, packets)
                heapq.heappush(self.events, event)
        due = self.policy.next_invitation()
        if due is not None:
            # Sorts behind the requests of the same time.
            heapq.heappush(self.events, (max(now, due), math.inf, "turn"))

    @property
    def short_wait(self):
        return sorted(self.short_waits)[len(self.short_waits) * 9 // 10]

    @property
    def in_objective(self):
        return sum(time <= OBJECTIVE for time in self.upload_times) / len(self.uploads)


@when(
    "{uploads:d} uploads a second of {size:d} bytes, a round trip of {round_trip:d} ms away, and "
    "{short:d} short calls share a link of {rate:d} Mbit/s"
)
def step_share_link(context, uploads, size, round_trip, short, rate):
    context.links = [
        SharedLink(policy, rate, uploads, short, size, round_trip, seed=1).run()
        for policy in (SendAtOnce(), TransferTurns(rate))
    ]


@then("nine in ten short calls wait at least {before:d} ms before, and at most {after:d} ms now")
def step_short_waits(context, before, after):
    waits = [link.short_wait for link in context.links]
    print(f"short calls, ms: before {waits[0]:.0f}, now {waits[1]:.0f}")
    assert waits[0] >= before and waits[1] <= after, waits


@then("uploads arrive within {objective:d} ms at most {loss:f} less often")
def step_uploads(context, objective, loss):
    before, now = (link.in_objective for link in context.links)
    print(f"uploads within {objective} ms: before {before:.3f}, now {now:.3f}")
    assert now >= before - loss, (before, now)
