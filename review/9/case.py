"""A leave is acknowledged while the store is down, and all processes of the system are killed before it is back."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import *  # noqa: E402,F403

DRAIN_S, STABLE_WINDOW_S = 2.0, 3.0
# The store is down for 3 s. The leave comes 1 s after it went down, and the processes are killed 0.5 s later.
DOWN_S, LEAVE_AT_S, KILL_AT_S, RESTART_S = 3.0, 1.0, 1.5, 0.5
# The last report from before the leave arrives this much later.
LATE_S = 2.5
# The instance serves on for this long after its leave was acknowledged.
SERVES_S = 9.0


async def case(deployment):
    record, store = deployment.record, deployment.store
    _, leaver = deployment.add("alpha")
    deployment.add("alpha")
    deployment.add("beta")
    nodes = deployment.nodes
    await deployment.start(config({"alpha": False, "beta": False}, [("a.example", "/u/", "unsafe", "alpha", {})]))
    await asyncio.sleep(4)

    sent, ends, is_over = {}, {}, False

    async def request(number):
        rid, entry = f"r{number:06d}", nodes[number % 3]
        headers = {"Host": "a.example", "X-Request-Id": rid, "X-Deadline-Ms": "1500"}
        sent[rid] = (time.monotonic(), entry)
        record.line(f"sent {rid} to {entry.name}")
        try:
            status, _, _ = await asyncio.wait_for(call(entry.outbound, "POST", f"/u/{number}", headers, b"x" * 100), 2)
        except (OSError, ConnectionError, asyncio.TimeoutError, ValueError) as error:
            status = repr(error)
        ends[rid] = status
        record.line(f"answered {rid} {status}")

    async def requests():
        number = 0
        while not is_over:
            number += 1
            asyncio.ensure_future(request(number))
            await asyncio.sleep(0.03)

    load = asyncio.create_task(requests())
    began = time.monotonic()

    async def wait_until(at_s):
        await asyncio.sleep(max(0.0, began + at_s - time.monotonic()))

    if TROUBLE:
        store.is_down = True
        for writer in list(store.http.writers):
            writer.transport.abort()
        record.say("the store is down")

    # The instance leaves: it sends no report after this one, which is late.
    await wait_until(LEAVE_AT_S - 0.1)
    leaver.beats.cancel()
    leaver.seq += 1
    report = {
        "address": "%s:%d" % leaver.address,
        "info": {"service": "alpha", "version": "v1", "zone": leaver.zone, "slots": leaver.slots},
        "status": {"state": "ready", "seq": leaver.seq, "coldRemainingMs": 0},
    }

    async def late_report():
        await asyncio.sleep(LATE_S)
        path = f"/galenastream/instances/{leaver.name}/heartbeat"
        try:
            status, _, _ = await call(leaver.control, "POST", path, {}, json.dumps(report).encode())
        except (OSError, ConnectionError) as error:
            status = repr(error)
        record.say(f"the late report arrives and is answered {status}")

    late = asyncio.create_task(late_report())
    await wait_until(LEAVE_AT_S)
    path = f"/galenastream/instances/{leaver.name}/deregister"
    status, _, _ = await asyncio.wait_for(call(leaver.control, "POST", path, {}), 1)
    if status != 200:
        raise CannotRun(f"the leave is answered {status}")
    acknowledged_at = time.monotonic()
    record.say(f"{leaver.name} leaves, acknowledged after {acknowledged_at - began:.2f} s")

    in_touch_from = acknowledged_at
    if TROUBLE:
        await wait_until(KILL_AT_S)
        for node in nodes:
            node.signal(signal.SIGKILL)
        for node in nodes:
            node.process.wait()
        record.say("all processes are killed")
        await asyncio.sleep(RESTART_S)
        for node in nodes:
            node.start()
        restarted_at = time.monotonic()
        await wait_until(DOWN_S)
        store.is_down = False
        record.say("the store is back")
        in_touch_from = max(restarted_at, time.monotonic()) + STABLE_WINDOW_S
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - time.monotonic()))
    is_over = True
    await load
    await late
    await leaver.http.close()
    await asyncio.sleep(2)
    record.say(f"{leaver.name} has ended, {SERVES_S:.0f} s after the acknowledgement")

    after = max(acknowledged_at + DRAIN_S, in_touch_from)
    late_runs = [run[0] for run in leaver.runs if run[0] in sent and sent[run[0]][0] > after]
    record.say(f"requests sent later than {after - acknowledged_at:.2f} s after the acknowledgement that it ran: "
               f"{len(late_runs)} {late_runs[:5]}")
    unserved = [rid for rid in late_runs if ends.get(rid) != 200]
    record.say(f"of these, not answered with 200, though they may run only once: {len(unserved)}")
    return not late_runs


run_case(os.path.join(HERE, "record.txt"), case)
