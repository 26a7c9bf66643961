"""A target hands out wrong bytes, once; other requests are in progress at the node beside it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import (BROKEN, HELD, STABLE_WINDOW_S, TROUBLE, Answer, CannotRun, Case, Connection,
                     Machine, Target, client_fields, make_config, make_path, play, request)

ORDERS = 6  # in progress on kept connections
ORDER_WORK_S = 1.0
SOUND_ANSWERS = 60  # of the faulty target, before the one that it spoils
SPOILED_FIELD_BYTES = 70_000
DEADLINE_MS = 5000


class FaultyTarget(Target):
    """Runs requests as any target, but spoils an answer: one line after its last chunk is long."""

    spoils_next = False

    async def _handle(self, method, path, fields, body):
        answer = await super()._handle(method, path, fields, body)
        if not self.spoils_next or path == "/healthz":
            return answer
        self.spoils_next = False
        head = (f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields['attempt-id']}\r\n"
                f"Response-Signature: s-{fields['attempt-id']}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n")
        spoiled = head.encode() + b"x:" + b"x" * SPOILED_FIELD_BYTES + b"\r\n\r\n"
        self.case.record.write(f"{self.instance} spoils its answer to {fields['attempt-id']}: "
                               f"{len(spoiled)} bytes")
        return spoiled


async def script(case: Case):
    record = case.record
    await case.start_store(make_config(1, ["catalogue", "orders"], [
        make_path("browse", "catalogue", "safe"), make_path("order", "orders", "unsafe")]))
    beside = Machine(case, 1, "catalogue", "a")
    machines = [beside, Machine(case, 2, "orders", "a"), Machine(case, 3, "orders", "b")]
    faulty = FaultyTarget(case, beside, "i-catalogue")
    sound = [Target(case, machine, f"i-{machine.name}") for machine in machines[1:]]
    for target in sound:
        target.work = lambda path: ORDER_WORK_S
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    for target in [faulty, *sound]:
        await target.start()
    await asyncio.sleep(STABLE_WINDOW_S)

    async def browse():
        attempt = case.request_id()
        answer = await request(beside.address, case.ports["outbound"], "GET", "/browse/1",
                               client_fields(attempt, DEADLINE_MS), timeout=DEADLINE_MS / 1000)
        record.write(f"answer {attempt} {answer.status} {answer.detail}")
        return answer

    async def order(connection):
        attempt = case.request_id()
        record.write(f"sent   {attempt} POST /order/1 on a kept connection")
        begin = record.now()
        try:
            await connection.send("POST", "/order/1", client_fields(attempt, DEADLINE_MS))
            answer = await asyncio.wait_for(connection.receive(), DEADLINE_MS / 1000)
        except asyncio.TimeoutError:
            answer = Answer(status=-1, detail="no answer until the deadline")
        except (ConnectionError, OSError) as error:
            answer = Answer(detail=f"the connection ended: {error}")
        record.write(f"answer {attempt} {answer.status} after {record.now() - begin:.2f} s "
                     f"{answer.detail}")
        return attempt, answer

    connections = [await Connection.open(beside.address, case.ports["outbound"])
                   for _ in range(ORDERS)]
    for _, answer in await asyncio.gather(*(order(c) for c in connections)):
        if answer.status != 200:
            raise CannotRun("an order was not served before the disruption")
    for _ in range(SOUND_ANSWERS):
        if (await browse()).status != 200:
            raise CannotRun("a request was not served before the disruption")

    orders = asyncio.ensure_future(asyncio.gather(*(order(c) for c in connections)))
    await asyncio.sleep(ORDER_WORK_S / 3)
    faulty.spoils_next = TROUBLE
    await browse()
    results = await orders
    ran = {attempt for target in sound for _, attempt, _ in target.ran}
    lost = [attempt for attempt, answer in results if attempt in ran and answer.status == 0]
    ended = beside.process.poll()
    record.write(f"{len(lost)} of {ORDERS} orders ran at a sound target, and their connections "
                 f"ended without an answer; the node's process: "
                 f"{'runs' if ended is None else f'ended by itself ({ended})'}")
    return BROKEN if len(lost) > 3 else HELD


play(os.path.dirname(os.path.abspath(__file__)), script)
