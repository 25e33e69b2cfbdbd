"""A zone is emptied, and streams whose callers send a header of their own run in another region."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))
from standins import *  # noqa: E402,F403

KEY = "hh2b9wu3fexd9dnn2ctn"
EVENTS = 12
# A header that no page names, as a caller may send it to the replica's application.
OWN_HEADER = {"X-Resume-After": "3"}


class StreamReplica(Replica):
    """Streams events with the ids 1 to EVENTS, or those after Last-Event-Id."""

    async def run(self, head, body, writer):
        headers = head[1]
        self.record.line(f"replica {self.id} in {self.zone} gets Last-Event-Id "
                         f"{headers.get('last-event-id')} and X-Resume-After "
                         f"{headers.get('x-resume-after')}")
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Filbertrudder-Attempt-Id: {headers['filbertrudder-attempt-id']}\r\n"
            "Filbertrudder-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def ids(answer):
    return [int(line[3:]) for line in answer.body.decode().split("\n") if line.startswith("id:")]


async def case(system, trouble):
    for zone in list(ZONES) * 2:
        system.replicas.append(StreamReplica(
            system.network, system.store, system.record, "pool", zone, slots=64))
    await system.start({
        "version": 7,
        "routes": [route("chat", "/chat/", "pool", type="stream", attempts=1, timeoutMs=10000,
                         goalMs=1500, gapTargetMs=400)],
        "services": [service("pool", maxConns=360)], "limits": LIMITS,
        "tenants": [tenant("club", [KEY])]})
    await asyncio.sleep(2)

    short = total = 0
    end_s = now() + 20
    evacuate_s, take_back_s = now() + 4, now() + 12
    evacuated = taken_back = False
    while now() < end_s:
        if trouble and not evacuated and now() >= evacuate_s:
            system.store.put_json("op/evacuate/mtl-a", {})
            system.record.line("zone mtl-a is to be emptied")
            evacuated = True
        if evacuated and not taken_back and now() >= take_back_s:
            system.store.delete("op/evacuate/mtl-a")
            system.record.line("zone mtl-a is taken back")
            taken_back = True
        machine = system.machines[total % 2]
        answer = await send(machine.ip, "POST", "/chat/1", KEY, b"question", 10000, OWN_HEADER,
                            record=system.record)
        total += 1
        got = ids(answer)
        if answer.status == 200 and answer.complete and got != list(range(1, EVENTS + 1)):
            short += 1
            system.record.line(f"client: {answer.attempt} is complete with the events {got}")
    system.record.line(f"streams: {total}, complete with pieces missing: {short}")
    return short > 0


main(case, os.path.dirname(os.path.abspath(__file__)))
