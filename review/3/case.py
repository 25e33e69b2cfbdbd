"""A machine in touch uses a replica that has left, as its relay was cut from the store before."""

import asyncio
import pathlib
import random
import sys
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from fleet import TROUBLE, now, request, route, run_case, service, tenant, desired_state

KEY = "hh2b9wu3fexd9dnn2ctn"
BOOKINGS_PER_S = 120
DRAIN_S = 4.0
SERVES_ON_S = 6
CUT_S, LEAVE_BEFORE_END_S = 5.5, (1.3, 0.7)
ROUNDS, ROUND_S = 6, 13


async def book(fleet, begin, number, gateway, sent_at, outcomes):
    attempt = f"{number:016x}"
    sent_at[attempt] = (now(), gateway)
    reply = await request(
        gateway.host, 8501, "POST", "/book/drum",
        {"Filbertrudder-Attempt-Id": attempt, "Filbertrudder-Deadline-Ms": "5000",
         "Authorization": f"Bearer {KEY}"}, b"one drum", 6)
    outcomes[reply.status or reply.why] += 1
    fleet.record.line(f"client {attempt} to {gateway.name}, sent {sent_at[attempt][0] - begin:.3f}: "
                      f"{reply.status or reply.why}")


async def leave_in_turn(fleet, begin, cut, left):
    for turn in range(ROUNDS):
        await asyncio.sleep(max(0, begin + 2 + turn * ROUND_S - now()))
        fleet.record.line(f"gateway {cut.name} is cut from the store")
        ending = asyncio.create_task(fleet.store.cut(cut.store_port, CUT_S)) if TROUBLE else None
        cut_at = now()
        leaving = []
        for before_end_s in LEAVE_BEFORE_END_S:
            await asyncio.sleep(max(0, cut_at + CUT_S - before_end_s - now()))
            replica = fleet.replicas[len(left) % len(fleet.replicas)]
            replica.leave()
            left[replica.id] = now()
            leaving.append(replica)
        if ending:
            await ending
            fleet.record.line(f"gateway {cut.name} reaches the store again")
        await asyncio.sleep(SERVES_ON_S)
        for replica in leaving:
            await replica.server.close(reset=False)
            await replica.start()


async def case(fleet):
    fleet.store.put("op/config", desired_state(
        7, [route("/book/", "unsafe", "desk")], [service("desk")], [tenant("club", KEY)]))
    for _ in range(3):
        await fleet.add_gateway("mtl")
    runs, sent_at, outcomes = [], {}, Counter()

    def on_run(replica, headers, target, body):
        attempt = headers["filbertrudder-attempt-id"]
        runs.append((now(), attempt, replica.id))
        fleet.record.line(f"replica {replica.id} runs {attempt}")

    for _ in range(12):
        replica = await fleet.add_replica("desk", "mtl", 6, 0.043)
        replica.on_run = on_run
    await fleet.start_gateways()
    await asyncio.sleep(4)
    # The relay is the gateway that reads the list all the time.
    reads = Counter({gateway: fleet.store.reads[gateway.store_port] for gateway in fleet.gateways})
    await asyncio.sleep(6)
    for gateway in fleet.gateways:
        reads[gateway] = fleet.store.reads[gateway.store_port] - reads[gateway]
    cut = reads.most_common(1)[0][0]
    others = [gateway for gateway in fleet.gateways if gateway is not cut]
    begin = now()
    fleet.record.say(f"traffic starts, to all but {cut.name}, which is cut off: {TROUBLE}")
    left = {}
    trouble = asyncio.create_task(leave_in_turn(fleet, begin, cut, left))
    tasks, number, next_booking = [], 0, begin
    while not trouble.done():
        if now() >= next_booking:
            next_booking += 1 / BOOKINGS_PER_S
            number += 1
            tasks.append(asyncio.create_task(
                book(fleet, begin, number, random.choice(others), sent_at, outcomes)))
        await asyncio.sleep(0.002)
    await asyncio.gather(trouble, *tasks)
    late = [(at - left[own_id], attempt) for at, attempt, own_id in runs
            if own_id in left and at > left[own_id] + DRAIN_S]
    fleet.record.say(f"answers: {dict(outcomes)}; replicas left: {len(left)}")
    fleet.record.say(f"{len(late)} bookings have reached a replica later than {DRAIN_S} s after the "
                     f"ack of its leaving, up to {max(late, default=(0, ''))[0]:.2f} s after")
    return bool(late)


run_case(pathlib.Path(__file__).resolve().parent, ["mtl"], case)
