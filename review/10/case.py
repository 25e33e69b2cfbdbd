"""A request that crashes replicas comes again while the machines are restarted in turn."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))
from standins import *  # noqa: E402,F403

KEY = "hh2b9wu3fexd9dnn2ctn"
BODY = b'{"order": "drum of grit", "poison": true}'
MOST_RETRIES = 3
CONTACT_S = BOUNDS["contactMs"] / 1000


class CrashingReplica(Replica):
    """Crashes as it begins to run the one request that crashes replicas."""

    crashes = []

    async def run(self, head, body, writer):
        if body != BODY:
            return await super().run(head, body, writer)
        CrashingReplica.crashes.append((now(), self.zone))
        asyncio.ensure_future(self.crash())
        return False


async def come_again(system, machine):
    """The request comes once, at a machine; returns the crashes sent by machines in touch."""
    # The sender is this machine, or for a replica of another region one of that region's machines.
    in_touch = {
        zone: machine.in_touch() if zone == machine.zone
        else all(m.in_touch() for m in system.machines if m.zone == zone)
        for zone in ZONES}
    before = len(CrashingReplica.crashes)
    await send(machine.ip, "POST", "/orders/1", KEY, BODY, record=system.record)
    new = CrashingReplica.crashes[before:]
    if new:
        await asyncio.sleep(1.0)
    return new, [zone for _, zone in new if in_touch[zone]]


async def case(system, trouble):
    for zone in list(ZONES) * 2:
        system.replicas.append(
            CrashingReplica(system.network, system.store, system.record, "desk", zone))
    await system.start({
        "version": 7, "routes": [route("orders", "/orders/", "desk")],
        "services": [service("desk")], "limits": LIMITS, "tenants": [tenant("club", [KEY])]})
    await asyncio.sleep(2)

    # The request comes at one machine after the other until all of them refuse it.
    turn = refused = 0
    while refused < 6 and now() < 40:
        new, _ = await come_again(system, system.machines[turn % 6])
        turn += 1
        refused = 0 if new else refused + 1
        await asyncio.sleep(0.5)
    if len(CrashingReplica.crashes) < 3 or refused < 6:
        raise RuntimeError("the request was not refused everywhere after its first crashes")
    third_s = CrashingReplica.crashes[2][0]
    system.record.line(f"all machines refuse the request; its third crash was at {third_s:.3f}")
    await asyncio.sleep(max(0, third_s + CONTACT_S + 0.2 - now()))
    early = len(CrashingReplica.crashes)

    async def restart_in_turn():
        for machine in system.machines:
            if trouble:
                await system.restart(machine)
            await asyncio.sleep(2.0)

    restarts = asyncio.ensure_future(restart_in_turn())
    counted = []
    turn = refused = 0
    while now() < 110:
        machine = system.machines[turn % 6]
        turn += 1
        if machine.in_touch():
            new, sent_in_touch = await come_again(system, machine)
            counted.extend(sent_in_touch)
            refused = 0 if new else refused + 1
            if refused >= 6 and restarts.done() and all(m.in_touch() for m in system.machines):
                break
        await asyncio.sleep(0.5)
    await restarts
    system.record.line(f"third crash at {third_s:.3f}; crashes until {CONTACT_S} s after it: {early}")
    system.record.line(f"later crashes: {len(CrashingReplica.crashes) - early}, of which sent by "
                       f"machines in touch: {len(counted)} (allowed: {MOST_RETRIES})")
    return len(counted) > MOST_RETRIES


main(case, os.path.dirname(os.path.abspath(__file__)))
