"""DRAIN: a node that restarts sends requests to an instance whose leave it has acknowledged."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_standins as p

RESTART_AFTER_S = 0.5
# How late the last report of the instance arrives ("seconds late").
LATE_S = 2.0
KILL_AFTER_S = 0.5
# How long the instance serves on after its leave ("at times many seconds").
STAY_S = 9.0
REQUESTS_PER_S = 40


async def play(deployment, record):
    vms = [deployment.add_vm("booking", work_ms=78) for _ in range(3)]
    route = {"name": "reserve", "pathPrefix": "/reserve/", "kind": "unsafe", "timeoutMs": 600,
             "targetLatencyMs": 250, "priority": 1, "service": "booking", "maxAttempts": 2}
    deployment.write_config([("booking", False)], [route])
    await deployment.start()

    leaving, vm = vms[0].instance, vms[0]
    # The last report before the leave is held up on its way.
    leaving.seq += 1
    late_report = asyncio.create_task(leaving.deliver_late(leaving.report(leaving.seq), LATE_S))
    acknowledged = await leaving.deregister()
    back_at = acknowledged
    if p.has_trouble():
        await asyncio.sleep(KILL_AFTER_S)
        await vm.end_node()
        await asyncio.sleep(RESTART_AFTER_S)
        await vm.start_node()
        back_at = record.now()

    sent, answers = {}, {}

    async def reserve(at_vm):
        request_id = p.new_id()
        try:
            caller = await p.Caller.connect(at_vm)
        except OSError:
            return
        sent[request_id] = (record.add(at_vm.name, "caller sends", id=request_id), at_vm)
        answer = await caller.request("POST", "/reserve/1", request_id, body=b"x" * 400)
        answers[request_id] = answer.status if answer else None
        record.add(at_vm.name, "caller is answered", id=request_id, status=answers[request_id])
        caller.close()

    tasks = []
    while record.now() < acknowledged + STAY_S:
        tasks += [asyncio.create_task(reserve(it)) for it in vms]
        await asyncio.sleep(1 / REQUESTS_PER_S)
    leaving.exit()
    record.add(leaving.name, "exits")
    await asyncio.gather(late_report, *tasks)

    # Requests that were sent while all machines were in touch again.
    drain_s = deployment.site.bound("drainMs") / 1_000
    in_touch_at = back_at + deployment.site.bound("stableWindowMs") / 1_000
    late = []
    for at, request_id in leaving.arrivals:
        sent_at, at_vm = sent.get(request_id, (0.0, None))
        if at > acknowledged + drain_s and sent_at > in_touch_at:
            late.append((request_id, at_vm.name, at - acknowledged))
    lost = sum(1 for request_id, _, _ in late if answers[request_id] != 200)
    print(f"{len(sent)} requests; {len(leaving.arrivals)} came to the instance after its leave was"
          f" acknowledged, {len(late)} later than drainMs and sent by machines in touch,"
          f" of which {lost} were lost when it ended")
    return [f"DRAIN: request {it} from {vm} came {after:.2f} s after the acknowledgement"
            for it, vm, after in late]


sys.exit(p.run_case(os.path.join(FOLDER, "record.txt"), p.ESSAYAGE_MU, play))
