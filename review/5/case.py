"""A node gets SIGTERM while its clients go on; some of their requests take longer than usual."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import (BROKEN, HELD, STABLE_WINDOW_S, TROUBLE, Answer, CannotRun, Case, Connection,
                     Machine, Target, client_fields, make_config, make_path, play)

GRACE_S = 6.0
CLIENTS = 6
REPORT_WORK_S = 4.5  # a request of the route "report"
USUAL_WORK_S = 0.05  # of the route "order"
LONG_WORK_S = 2.5
SENT_AFTER_SIGTERM_S = 3.2
DEADLINE_MS = 5000


async def script(case: Case):
    record = case.record
    await case.start_store(make_config(1, ["reports", "orders"], [
        make_path("report", "reports", "safe"), make_path("order", "orders", "unsafe")]))
    # The only machine of its zone: when it is out, its clients go on sending to it.
    stopped = Machine(case, 1, "reports", "a")
    other = Machine(case, 2, "orders", "b")
    targets = {}
    for machine in (stopped, other):
        machine.start()
        targets[machine.service] = Target(case, machine, f"i-{machine.service}")
        await targets[machine.service].start()
    targets["reports"].work = lambda path: REPORT_WORK_S
    targets["orders"].work = (
        lambda path: LONG_WORK_S if path.endswith("/long") else USUAL_WORK_S)
    for machine in (stopped, other):
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S)

    async def send(connection, method, path):
        """Returns the answer, and whether the connection ended without one."""
        attempt = case.request_id()
        record.write(f"sent   {attempt} {method} {path}, deadline {DEADLINE_MS} ms")
        begin = record.now()
        try:
            await connection.send(method, path, client_fields(attempt, DEADLINE_MS))
            answer = await asyncio.wait_for(connection.receive(), DEADLINE_MS / 1000)
        except asyncio.TimeoutError:
            answer = Answer(detail="no answer until the deadline", status=-1)
        except (ConnectionError, OSError) as error:
            answer = Answer(detail=f"the connection ended: {error}")
        record.write(f"answer {attempt} {answer.status} after {record.now() - begin:.2f} s "
                     f"{answer.detail}")
        return attempt, answer

    async def connect():
        return await Connection.open(stopped.address, case.ports["outbound"])

    kept = [await connect() for _ in range(CLIENTS)]
    for _ in range(20):
        for _, answer in await asyncio.gather(*(send(c, "POST", "/order/usual") for c in kept)):
            if answer.status != 200:
                raise CannotRun("a usual request was not served before the SIGTERM")
    report = asyncio.ensure_future(send(await connect(), "GET", "/report/1"))
    await asyncio.sleep(0.3)
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
        record.write("SIGTERM to the node")
    stopped_at = record.now()
    await asyncio.sleep(SENT_AFTER_SIGTERM_S)
    results = await asyncio.gather(*(send(c, "POST", "/order/long") for c in kept))
    await report
    ran = {attempt for _, attempt, _ in targets["orders"].ran}
    lost = [attempt for attempt, answer in results
            if attempt in ran and not answer.complete and answer.status == 0]
    record.write(f"{len(lost)} of {CLIENTS} requests, sent {SENT_AFTER_SIGTERM_S} s after the "
                 "SIGTERM, ran, and their connections ended without an answer "
                 f"{record.now() - stopped_at:.1f} s after it")
    return BROKEN if lost else HELD


play(os.path.dirname(os.path.abspath(__file__)), script)
