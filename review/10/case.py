"""A server closes its idle connections and, at its connection maximum, refuses new ones for a second. When the front
gets one again, it takes the server for another process and cuts all calls that stand there."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from shale import *  # noqa: E402,F403

FULL_S = 1.0


async def case(record, folder):
    feed = Feed(record)
    await feed.start()
    servers = [Server(record, f"s-{'ab'[cell]}", cell) for cell in range(2)]
    for server in servers:
        await server.start()
    feed.add([s.member() for s in servers], complete=True)
    front = Front(record, folder, "n0", feed, "kerala-hills")
    await front.start()
    callers = Callers(record, front)
    connection = await callers.connect()
    for n in range(10):
        callers.invite(connection, dest=n % 2)
        await asyncio.sleep(0.2)
    await asyncio.sleep(1)
    full = servers[0]
    if TROUBLE:
        full.refuse()
    full.close_links()
    await asyncio.sleep(FULL_S)
    if TROUBLE:
        await full.listen_again()
    await asyncio.sleep(4)
    standing = {id: s.name for s in servers for id in s.calls}
    if not full.calls:
        raise CannotRun("no call stands at the server")
    return [f"call {c.id} stands at {standing[c.id]}, which has not ended it; the front released it towards its caller "
            f"{c.first_bye() - c.stood_at:.2f} s after its answer"
            for c in callers.calls.values() if c.byes and c.id in standing]


main(__file__, case)
