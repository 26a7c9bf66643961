"""A target leaves beside a node that was just restarted, while one of its heartbeats is late."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import (BROKEN, DRAIN_S, HELD, STABLE_WINDOW_S, TROUBLE, Case, CannotRun, Machine,
                     Target, client_fields, make_config, make_path, play, request)

HEARTBEAT_LATE_S = 1.0
SERVES_ON_S = 8.0  # how long the target runs after its call: drain-s and some seconds


async def script(case: Case):
    record = case.record
    await case.start_store(make_config(1, ["desk", "shop"], [make_path("x", "shop", "unsafe")]))
    entry = Machine(case, 1, "desk", "a")
    leaving = Machine(case, 2, "shop", "a")
    staying = Machine(case, 3, "shop", "a")
    machines = [entry, leaving, staying]
    for machine in machines:
        machine.start()
    targets = [Target(case, machine, f"i-{machine.name}", slots=20) for machine in machines]
    for target in targets:
        target.work = lambda path: 0.1
    for target in targets:
        await target.start()
    for machine in machines:
        await machine.wait_ready()
    target = targets[1]
    failed = []

    async def send():
        attempt = case.request_id()
        record.write(f"sent   {attempt} POST /x/1 to {entry.name}")
        answer = await request(entry.address, case.ports["outbound"], "POST", "/x/1",
                               client_fields(attempt, 3000), timeout=3.5)
        record.write(f"answer {attempt} {answer.status} {answer.detail}")
        if not answer.complete or answer.status >= 500:
            failed.append(attempt)

    async def send_for(seconds):
        end = record.now() + seconds
        while record.now() < end:
            await asyncio.gather(*(send() for _ in range(30)))
            await asyncio.sleep(0.05)

    await asyncio.sleep(STABLE_WINDOW_S)
    await send_for(2.0)
    if not target.ran:
        raise CannotRun("the target that shall leave got no request before")

    # The node beside the target is killed and starts again; the target runs on.
    target.stop_beats()  # its beats are sent one by one from here
    if TROUBLE:
        leaving.kill()
        record.write(f"killed the node of {leaving.name}")
        await asyncio.sleep(0.3)
        leaving.start()
        await leaving.wait_ready()
        record.write(f"the node of {leaving.name} is ready again")
    late = target.heartbeat()  # says "ready"; it is on its way for a while

    async def arrive_late():
        await asyncio.sleep(HEARTBEAT_LATE_S)
        status = await target.report(late)
        record.write(f"beat   seq {target.sequence} (ready) of {target.instance} arrives: {status}")

    arriving = asyncio.ensure_future(arrive_late())
    await asyncio.sleep(0.3)
    status = await target.deregister()
    acknowledged = record.now()
    record.write(f"deregister of {target.instance}: {status}")
    if status != 200:
        raise CannotRun("the target's leaving was not acknowledged")
    sending = asyncio.ensure_future(send_for(SERVES_ON_S + 1.0))
    await asyncio.sleep(SERVES_ON_S)
    await arriving
    failed.clear()
    exited = record.now()
    await target.exit()
    record.write(f"the target {target.instance} exits")
    await sending

    # The machines that took and sent the requests have been in touch since this moment.
    in_touch = acknowledged + max(DRAIN_S, STABLE_WINDOW_S)
    late_runs = [run for run in target.ran if in_touch < run[0] < exited]
    record.write(f"{len(late_runs)} requests reached {target.instance} later than "
                 f"{in_touch - acknowledged:.1f} s after its leaving was acknowledged")
    ran = {attempt for _, attempt, _ in target.ran}
    record.write(f"{len(ran.intersection(failed))} requests ran there, not idempotent, whose "
                 "clients got a failure when it exited")
    return BROKEN if late_runs else HELD


play(os.path.dirname(os.path.abspath(__file__)), script)
