"""A set-up with many free header fields shares a connection with others. Are the others answered?"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
sys.dont_write_bytecode = True
import standin as s

FIELDS = 70    # short header fields of the one set-up; the whole message has less than 2 KiB of the 16 allowed
PATIENCE = 2.0  # X-Setup-Ms of the others
LIMIT = PATIENCE + 0.5 + 0.05


async def case(record, folder, trouble, fronts):
    feed = s.Feed(record)
    await feed.start()
    one, two = (s.Server(record, n, c, work=0.3) for n, c in (("s-00000001", 0), ("s-00000002", 1)))
    for server in (one, two):
        await server.start()
    known = s.known_list([one, two])
    feed.events = list(known["events"])
    front = s.Front(record, feed.address, known)
    fronts.append(front)
    front.start(os.path.join(front.folder, "log"))
    if not await front.ready():
        raise RuntimeError("the front is not in service")
    callers = s.Callers(record, front.listen)
    others = []
    for turn in range(5):
        connection = await callers.connect()
        others += [callers.set_up(connection, dest=i % 2, ms=int(PATIENCE * 1000)) for i in range(4)]
        await asyncio.sleep(0.1)
        fields = "".join(f"X-Free-{i}: {i}\r\n" for i in range(FIELDS if trouble else 10))
        callers.set_up(connection, dest=0, ms=int(PATIENCE * 1000), headers=fields)
        await asyncio.sleep(LIMIT + 0.2)
        if turn == 0 and not all(a.id in {**one.calls, **two.calls} for a in others):
            raise RuntimeError("the other set-ups had not reached a server")
    answered = [a for a in others if a.answers == 1 and a.answered_at <= a.at + LIMIT]
    sent_on = [a for a in others if a.id in {**one.calls, **two.calls}]
    record.verdict(f"set-ups beside the one with {FIELDS if trouble else 10} free header fields: {len(others)}; sent on to a server: "
                   f"{len(sent_on)}; given exactly one answer in time: {len(answered)}")
    return len(answered) == len(others)


s.main(case)
