"""A planned stop of the machine at which requests wait for a slot of an instance elsewhere."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import *  # noqa: E402,F403

GRACE_S = 6
LOSS_SLACK_S = 0.2
# One instance with 6 slots and 1 s a request serves 6 a second. Requesters send more, as in a busy hour.
SLOTS, WORK_S, PER_S = 6, 1.0, 7.0
# What requesters and the route allow.
BUDGET_MS, TIMEOUT_MS, AIM_MS = 20000, 10000, 6000
WARM_S = 45


async def case(deployment):
    record = deployment.record
    _, instance = deployment.add("alpha", slots=SLOTS, work_s=WORK_S)
    entry, _ = deployment.add("beta")
    options = dict(timeoutMs=TIMEOUT_MS, targetLatencyMs=AIM_MS)
    await deployment.start(config({"alpha": False, "beta": False}, [("a.example", "/s/", "safe", "alpha", options)]))
    await asyncio.sleep(3)

    is_over, stopped_at, ends = False, None, []

    async def request(number):
        """One request, sent and read whole unless the node ends the connection."""
        rid = f"r{number:06d}"
        reader, writer = await asyncio.open_connection(*entry.outbound)
        try:
            head = f"GET /s/{number} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {rid}\r\nX-Deadline-Ms: {BUDGET_MS}\r\n\r\n"
            writer.write(head.encode())
            await writer.drain()
            sent_at = time.monotonic()
            record.line(f"sent {rid}")
            try:
                end = (await asyncio.wait_for(read_response(reader), BUDGET_MS / 1000 + 1))[0]
            except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                end = repr(error)
            ended_at = time.monotonic()
            record.line(f"ended {rid} {end} after {ended_at - sent_at:.2f} s")
            ends.append((rid, sent_at, ended_at, end))
        finally:
            writer.transport.abort()

    async def requests():
        number, tasks = 0, []
        while not is_over:
            number += 1
            task = asyncio.create_task(request(number))
            tasks.append(task)
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks, return_exceptions=True)

    load = asyncio.create_task(requests())
    await asyncio.sleep(WARM_S)
    stopped_at = time.monotonic()
    if TROUBLE:
        record.say(f"SIGTERM of {entry.name}, process {entry.process.pid}")
        entry.signal(signal.SIGTERM)
        while entry.process.poll() is None and time.monotonic() < stopped_at + GRACE_S:
            await asyncio.sleep(0.01)
        record.say(f"it has ended after {time.monotonic() - stopped_at:.2f} s, code {entry.process.poll()}")
    else:
        await asyncio.sleep(GRACE_S)
    is_over = True
    await load

    ran = {run[0] for run in instance.runs}
    lost = [(rid, round(sent_at - stopped_at, 2), round(ended_at - sent_at, 2), end)
            for rid, sent_at, ended_at, end in ends
            if not isinstance(end, int) and rid not in ran and ended_at - sent_at > LOSS_SLACK_S]
    counts = {}
    for _, _, _, end in ends:
        counts[end] = counts.get(end, 0) + 1
    record.say(f"ends of requests: {counts}")
    for rid, sent, took, end in lost:
        record.say(f"{rid}, sent {sent} s after SIGTERM, never at the instance, ended after {took} s: {end}")
    return not lost


run_case(os.path.join(HERE, "record.txt"), case)
