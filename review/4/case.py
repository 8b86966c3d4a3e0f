"""LOST: a node that is stopped resets a connection on which a requester still reads an answer."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import platform_standins as p

REQUESTERS = 8
# The longest answer to a `statement-bundle` and its time budget, as the site file has them. Two answers
# take 3.6 s.
ANSWER_BYTES = 540_000
READ_BYTES_PER_S = 300_000
BUDGET_MS = 4_000


async def play(deployment, record):
    vms = [deployment.add_vm("records", work_ms=100) for _ in range(2)]
    for vm in vms:
        vm.instance.answer_bytes = ANSWER_BYTES
    route = {"name": "bundle", "pathPrefix": "/bundle/", "kind": "download",
             "timeoutMs": BUDGET_MS, "targetLatencyMs": 1_000, "priority": 1,
             "service": "records", "maxAttempts": 2}
    deployment.write_config([("records", False)], [route])
    await deployment.start()
    vm = vms[0]
    cut = []

    async def read_answer(caller, request_id):
        """Reads an answer as slowly as the requester does. Returns whether it was complete."""
        read = await p.read_message(caller.reader)
        if read is None:
            return None
        line, headers = read
        left = int(headers.get("content-length", 0))
        record.add("requester", "reads the head", id=request_id, status=line.split(" ")[1],
                   connection=headers.get("connection"))
        try:
            while left > 0:
                part = await caller.reader.read(min(left, READ_BYTES_PER_S // 10))
                if not part:
                    break
                left -= len(part)
                await asyncio.sleep(len(part) / READ_BYTES_PER_S)
        except ConnectionError as error:
            record.add("requester", "is cut off", id=request_id, unread=left, by=repr(error))
        record.add("requester", "ends", id=request_id, unread=left)
        return left == 0

    async def pipeline():
        """Sends two requests ahead, and a third one while it reads the first answer."""
        caller = await p.Caller.connect_with_small_window(vm)
        ids = [p.new_id() for _ in range(3)]

        async def send(request_id):
            record.add("requester", "sends", id=request_id)
            try:
                caller.send("GET", "/bundle/1", request_id, BUDGET_MS)
            except OSError:
                pass

        await send(ids[0])
        await send(ids[1])

        async def send_third():
            await asyncio.sleep(1.6)
            await send(ids[2])

        third = asyncio.create_task(send_third())
        for request_id in ids[:2]:
            if not await read_answer(caller, request_id):
                cut.append(request_id)
        await third
        caller.close()

    stop = None
    if p.has_trouble():
        record.add(vm.name, "gets SIGTERM")
        stop = asyncio.create_task(vm.end_node(p.signal.SIGTERM))
    await asyncio.sleep(0.5)
    await asyncio.gather(*(pipeline() for _ in range(REQUESTERS)))
    if stop:
        await stop

    arrived = {request_id for it in deployment.instances for _, request_id in it.arrivals}
    lost = [it for it in cut if it in arrived]
    print(f"{2 * REQUESTERS} answers; {len(lost)} were cut off although their requests had been"
          f" passed on")
    return [f"LOST: request {it} was passed on, and its answer was cut off" for it in lost]


sys.exit(p.run_case(os.path.join(FOLDER, "record.txt"), p.HINOKUNI_HQ_GROWN, play))
