"""A request that crashes engines, while a group begins to chat over a prompt that is new."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))
from standins import *  # noqa: E402,F403

KEY = "hh2b9wu3fexd9dnn2ctn"
CRASHING = b"the question that crashes engines"
NEW_PART = "5c1e07a2"
FIRST_TOKEN_S = 1.0


class Engine(Replica):
    """Streams a short answer after the time to the first token; crashes on one request."""

    async def run(self, head, body, writer):
        if body == CRASHING:
            asyncio.ensure_future(self.crash())
            return False
        headers = head[1]
        self._active += 1
        await asyncio.sleep(FIRST_TOKEN_S if b"group" in body else 0.02)
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Filbertrudder-Attempt-Id: {headers['filbertrudder-attempt-id']}\r\n"
            "Filbertrudder-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
            f"Filbertrudder-Server-Load: {self._active},0,{self.slots}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, 4):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        self._active -= 1
        await writer.drain()
        return True


def prompt(shared, own):
    return {"Filbertrudder-Model": "m", "Filbertrudder-Token-Usage": "628,300",
            "Filbertrudder-Prompt-Prefix": f"{shared}:119,{own}:509"}


async def case(system, trouble):
    for zone in ["mtl-a"] * 4 + ["sag-a"] * 3 + ["gas-a"]:
        system.replicas.append(
            Engine(system.network, system.store, system.record, "pool", zone, slots=64))
    chat = dict(type="stream", timeoutMs=10000, goalMs=1500, gapTargetMs=400, affinity=True,
                resumable=True, attempts=2, priority=0)
    await system.start({
        "version": 7, "routes": [route("chat", "/chat/", "pool", **chat)],
        "services": [service("pool", maxConns=360, engine={
            "slots": 64, "kvCapacity": 402263, "kvTokenBytes": 163840, "linkMbps": 1100000.0,
            "moves": True, "backups": True, "stride": 8, "most": 12, "pinMs": 4000.0,
            "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]})],
        "limits": LIMITS, "tenants": [tenant("club", [KEY], rate=3000000)]})
    await asyncio.sleep(2)
    answers = {}
    denied = []
    total = 0

    async def ask(machine, shared, body, phase):
        nonlocal total
        answer = await send(machine.ip, "POST", "/chat/1", KEY, body, 10000,
                            prompt(shared, os.urandom(4).hex()))
        total += 1
        own = "filbertrudder-server-stamp" not in answer.headers
        name = f"{answer.summary()}{' (own)' if own else ''}"
        answers.setdefault(phase, {}).setdefault(name, 0)
        answers[phase][name] += 1
        if answer.status and 300 <= answer.status < 500 and own and answer.status not in (
                408, 421, 429):
            denied.append(now())
            if len(denied) <= 20:
                system.record.line(f"client at {machine.name} gets {answer.status} {answer.body[:150]!r}")
        return answer

    # Usual traffic with other prompts.
    for turn in range(150):
        await asyncio.gather(*[ask(m, f"aa{turn % 8}", os.urandom(8), "usual") for m in system.machines])
    system.record.line("a group begins to chat over a new prompt")
    group = [asyncio.ensure_future(
        ask(system.machines[2 + i % 2], NEW_PART, b"group %d" % i, "the group's first questions"))
        for i in range(24)]
    await asyncio.sleep(0.3)
    if trouble:
        # The client repeats the request once, on a new channel: the stream may be resumed.
        for machine in system.machines[2:4]:
            await send(machine.ip, "POST", "/chat/2", KEY, CRASHING, 10000,
                       prompt("bb1", "cc1"), record=system.record)
    await asyncio.gather(*group)
    end_s = now() + 20

    async def member(number):
        while now() < end_s:
            await ask(system.machines[number % 6], NEW_PART, b"group again %d" % total,
                      "the group's later questions")
            await asyncio.sleep(2 * random.random())

    await asyncio.gather(*[member(i) for i in range(24)])
    for phase, names in answers.items():
        system.record.line(f"{phase}: {names}")
    system.record.line(f"requests: {total}, denied: {len(denied)} (allowed: {5 + total // 500})")
    return len(denied) > 5 + total / 500


main(case, os.path.dirname(os.path.abspath(__file__)))
