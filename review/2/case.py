"""Discovery is crowded: every request waits 1.9 s for its response. A server drains; does the front keep to it?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
sys.dont_write_bytecode = True
import standin as s

WAIT = 1.9           # seconds that each request to discovery waits in turn; the limit of the pages is 2.0
TOLD_ALLOWANCE = 4.0  # the longest time after which the pages count anything as told
GRACE = 0.25 + 0.05   # drain grace of the site, and what sockets add to every limit


async def case(record, folder, trouble, fronts):
    feed = s.Feed(record, WAIT if trouble else 0.0)
    await feed.start()
    one, two, three = (s.Server(record, n, c) for n, c in (("s-00000001", 0), ("s-00000002", 1), ("s-00000003", 0)))
    for server in (one, two, three):
        await server.start()
    known = s.known_list([one, two])
    feed.events = list(known["events"])
    front = s.Front(record, feed.address, known)
    fronts.append(front)
    seen = {}
    front.start(os.path.join(front.folder, "log"))
    if not await front.ready():
        raise RuntimeError("the front is not in service")
    reader = asyncio.ensure_future(s.read_feed(record, feed, 3, seen))
    callers = s.Callers(record, front.listen)
    connections = [await callers.connect() for _ in range(4)]

    async def traffic(seconds):
        for i in range(int(seconds * 20)):
            callers.set_up(connections[i % 4], dest=i % 2)
            await asyncio.sleep(0.05)

    await traffic(8)
    import time
    feed.tell([three.entry(since=int(time.time() * 1000) - 1500)])
    await traffic(2)
    feed.tell([one.entry("draining")])
    told = feed.told_at[3]
    await traffic(20)
    one.stop()
    await traffic(2)
    await asyncio.sleep(1)
    if 3 not in seen or seen[3] - told > 0.5:
        raise RuntimeError("the plain reader of the feed was not told in time")
    limit = told + TOLD_ALLOWANCE + GRACE
    late = [t for t, _ in one.set_ups if t > limit]
    cut = [c for c in one.calls.values() if c.cut and c.at > limit]
    record.verdict(f"event 3 (draining) in the feed at {told:.3f} s, read by the plain reader at {seen[3]:.3f} s; "
                   f"requests to the feed: {feed.requests}")
    record.verdict(f"set-ups at the draining server: {len([t for t, _ in one.set_ups if t > told + GRACE])} later than the "
                   f"grace, {len(late)} later than {TOLD_ALLOWANCE} s plus the grace"
                   + (f", the last {late[-1] - told:.2f} s after the news" if late else "")
                   + f"; {len(cut)} of their calls cut when it stopped; set-ups at the new server: {len(three.set_ups)}")
    return not late


s.main(case)
