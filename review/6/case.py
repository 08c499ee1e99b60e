"""A server dies while its callers have no connection. One of them then hangs up on a new connection; the other's release
is not sent there: it is never told."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from shale import *  # noqa: E402,F403

SERVERS = 8  # one of them dies: 12.5%, the site's trouble 'crash' has 6.8 to 14%
NOTICE_S = 3.0  # the list tells of an end after 1.3 to 4.9 s
AWAY_S = 4.0  # from the end of the calls until one of the callers connects again
END_S = 8.0
SLACK_S = 0.05


async def case(record, folder):
    feed = Feed(record)
    await feed.start()
    servers = [Server(record, f"s-{'abcdefgh'[cell]}", cell, zone="xela-1") for cell in range(SERVERS)]
    for server in servers:
        await server.start()
    feed.add([s.member() for s in servers], complete=True)
    front = Front(record, folder, "n0", feed, "altiplano-calls",
                  change=lambda s: s["domain"].update(class_cells=[list(range(SERVERS))]))
    await front.start()
    callers = Callers(record, front)
    connection = await callers.connect()
    for _ in range(4):
        callers.invite(connection, dest=0)
        await asyncio.sleep(0.2)
    await until(lambda: all(c.answers for c in callers.calls.values()), 3, "all calls answered")
    dying = servers[0]
    calls = [c for c in callers.calls.values() if c.server == dying.name]
    if len(calls) < 2:
        raise CannotRun(f"fewer than two calls stand at {dying.name}")
    # A standing call belongs to no connection, and callers close one that carries no call after 4 s.
    await asyncio.sleep(4)
    record.add("caller", "closes its connection, 4 s after the last set-up on it")
    connection.transport.close()
    await asyncio.sleep(1)
    gone = dying.member("removed")
    ended = time.time()
    if TROUBLE:
        dying.die()
    await asyncio.sleep(NOTICE_S)
    if TROUBLE:
        feed.add([gone])
    await asyncio.sleep(ended + AWAY_S - time.time())
    record.add("caller", "connects again; one hangs up")
    connection = await callers.connect()
    callers.bye(connection, calls[0])
    await asyncio.sleep(ended + END_S + 0.5 - time.time())
    if not TROUBLE:
        return [f"call {c.id} was released" for c in calls if c.byes]
    return [f"call {c.id} was cut with {dying.name}; its caller, connected again {AWAY_S} s after that, was not told "
            f"within {END_S} s" for c in calls[1:] if not c.byes or c.first_bye() > ended + END_S + SLACK_S]


main(__file__, case)
