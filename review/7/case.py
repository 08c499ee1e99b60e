"""A server's machine vanishes, and a new server takes its address. The callers of the calls that were cut are told only
when the list removes the old server, over 8 s after the end of their calls."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from shale import *  # noqa: E402,F403

TAKEN_S = 3.0  # from the loss of the machine until the new server has its address
ADD_S = 1.7  # the list tells of a start after 0.22 to 1.7 s
NOTICE_S = 11.0  # the list tells of a silent end after 5.3 to 14 s
END_S = 8.0  # 'within 8 s of its end'
SLACK_S = 0.05


async def case(record, folder):
    feed = Feed(record)
    await feed.start()
    servers = [Server(record, f"s-{'abcd'[cell]}", cell, zone="xela-1") for cell in range(4)]
    for server in servers:
        await server.start()
    feed.add([s.member() for s in servers], complete=True)
    front = Front(record, folder, "n0", feed, "altiplano-calls")
    await front.start()
    callers = Callers(record, front)
    connections = [await callers.connect() for _ in range(2)]

    async def traffic(seconds):
        end, n = time.time() + seconds, 0
        while time.time() < end:
            callers.invite(connections[n % 2], dest=n % 4)
            n += 1
            await asyncio.sleep(0.15)

    machine = servers[0]
    await traffic(4)
    await asyncio.sleep(0.3)
    gone = machine.member("removed")
    if not TROUBLE:
        await traffic(NOTICE_S + 2)
        return [f"call {c.id} was released" for c in callers.calls.values() if c.byes]
    vanished = time.time()
    machine.vanish()
    cut = [callers.calls[id] for id in machine.cut]
    if not cut:
        raise CannotRun("no call stood at the server")
    await traffic(TAKEN_S)
    started = time.time()
    machine.come_back()
    machine.name = "s-e"
    record.add("case", "a new server, s-e, has the address of s-a")
    await traffic(ADD_S)
    feed.add([machine.member(started=started)])
    await traffic(vanished + NOTICE_S - time.time())
    feed.add([gone])
    await traffic(2)
    broken = []
    for call in cut:
        told = call.first_bye() - vanished if call.byes else None
        record.add("case", f"call {call.id} of s-a: its caller was told {told} s after its end")
        if told is None or told > END_S + SLACK_S:
            broken.append(f"call {call.id} was cut with s-a; its caller was told "
                          + (f"{told:.2f} s after its end" if told else "never"))
    return broken


main(__file__, case)
