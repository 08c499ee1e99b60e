"""Stand-ins for the parties round one front: control feed, signalling servers and callers.

They follow the protocol page. Where it is silent they behave like a sound party. Every party listens on a
loopback address with a free port; every message is written to the record."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """The file record.txt: one line an event, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.begin = time.time()

    def now(self):
        return time.time() - self.begin

    def say(self, who, what):
        self.file.write(f"{self.now():9.3f} {who:<10} {what}\n")

    def verdict(self, text):
        self.say("verdict", text)
        print(text)


def call_id(rng):
    return f"{rng.getrandbits(64):016x}"


# ---- control feed ----


class Feed:
    """The control feed: server-sent events, a comment each second. `delay` is the time that each request
    waits for its response."""

    def __init__(self, record, delay=0.0):
        self.record, self.delay = record, delay
        self.events, self.told_at, self.changed = [], {}, asyncio.Event()
        self.requests = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def tell(self, members, complete=False):
        n = len(self.events) + 1
        event = {"n": n, "members": {"revision": n, "complete": complete, "members": members}}
        self.events.append(event)
        self.told_at[n] = self.record.now()
        self.record.say("feed", f"event {n} is in the feed: {json.dumps(members)}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = int(re.search(r"(?im)^last-event-id: *(\d+)", head).group(1))
            who = "reader" if "X-Reader" in head else "front"
            self.requests += 1
            self.record.say("feed", f"request of the {who} after event {last}")
            await asyncio.sleep(self.delay)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            await writer.drain()
            self.record.say("feed", f"response to the {who} begins")
            while True:
                while last < len(self.events):
                    event = self.events[last]
                    last = event["n"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
                    self.record.say("feed", f"event {last} written to the {who}")
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b": still here\n\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, AttributeError):
            pass
        finally:
            writer.close()


async def read_feed(record, feed, wanted, seen):
    """A plain patient reader: one request, no time limit of its own. Records when it has the event."""
    host, port = feed.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /v1/events HTTP/1.1\r\nHost: feed\r\nX-Reader: 1\r\nLast-Event-ID: 0\r\n\r\n")
    while True:
        line = (await reader.readline()).decode().strip()
        if line.startswith("data:"):
            n = json.loads(line[5:])["n"]
            seen[n] = record.now()
            record.say("reader", f"event {n} read")
            if n >= wanted:
                return writer.close()


# ---- signalling servers ----


class Call:
    def __init__(self, server, cid, link, at):
        self.server, self.id, self.link, self.at = server, cid, link, at
        self._stands, self.over_at, self.cut = False, None, False

    @property
    def stands(self):
        return self._stands

    @stands.setter
    def stands(self, value):
        self.server.standing += int(value) - int(self._stands)
        self._stands = value


class Link:
    def __init__(self, server, reader, writer, number):
        self.server, self.reader, self.writer, self.number = server, reader, writer, number
        self.open = True

    def send(self, message):
        if self.open and not self.writer.is_closing():
            self.writer.write((json.dumps(message) + "\n").encode())


class Server:
    """A signalling server. It answers each set-up after `work` seconds and holds the call for `hold`."""

    def __init__(self, record, name, cell, work=0.02, hold=8.0, lines=400):
        self.record, self.name, self.cell, self.work, self.hold = record, name, cell, work, hold
        self.lines, self.standing = lines, 0
        self.links, self.calls, self.unsent = [], {}, []
        self.set_ups = []  # (time of arrival, id)
        self.count = 0
        self.dead = False

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=64)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def entry(self, phase="up", since=0):
        return {"id": self.name, "host_port": self.address, "locality": "idukki", "flavor": "std",
                "cell": self.cell, "phase": phase, "size": 1, "up_since_ms": since}

    def load(self):
        return f"x0:{self.lines - self.standing};x1:{self.lines};latency_ms:3"

    async def serve(self, reader, writer):
        self.count += 1
        link = Link(self, reader, writer, self.count)
        self.links.append(link)
        self.record.say(self.name, f"link {link.number} opened")
        link.send({"type": "state", "id": "", "fields": {"load": self.load()}})
        # What could not be said on an earlier connection is said on the next one as well.
        for message in self.unsent:
            self.record.say(self.name, f"link {link.number} release {message['id']} again")
            link.send(message)
        self.unsent = []
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                if not self.dead:
                    self.line(link, json.loads(line))
        except (ConnectionError, ValueError) as why:
            self.record.say(self.name, f"link {link.number}: {type(why).__name__}")
        link.open = False
        self.record.say(self.name, f"link {link.number} closed")
        if link in self.links:
            self.links.remove(link)
        for call in self.calls.values():
            if call.link is link and not call.stands and call.over_at is None:
                call.over_at = self.record.now()
        writer.close()

    def line(self, link, message):
        kind, cid = message["type"], message["id"]
        if kind == "ping":
            return link.send({"type": "pong", "id": cid, "fields": {"load": self.load()}, "cause": 1})
        if kind == "setup":
            now = self.record.now()
            self.record.say(self.name, f"link {link.number} set-up {cid} left {message['fields']['left']}")
            self.set_ups.append((now, cid))
            call = self.calls[cid] = Call(self, cid, link, now)
            asyncio.get_running_loop().call_later(self.work, self.answer, call)
        elif kind == "release":
            self.record.say(self.name, f"link {link.number} release {cid} from the front, cause {message.get('cause')}")
            call = self.calls.get(cid)
            if call and call.over_at is None:
                call.over_at, call.stands = self.record.now(), False
                link.send({"type": "released", "id": cid, "fields": {}})
        elif kind == "released":
            self.record.say(self.name, f"link {link.number} released {cid}")

    def answer(self, call):
        if self.dead or call.over_at is not None or not call.link.open:
            return
        call.stands = True
        self.record.say(self.name, f"link {call.link.number} answer {call.id}")
        call.link.send({"type": "answer", "id": call.id, "fields": {"load": self.load()},
                        "sdp": f"{self.name} {call.id}\r\nc=IN IP4 127.0.0.1\r\n"})
        asyncio.get_running_loop().call_later(self.hold, self.end, call, 16)

    def end(self, call, cause):
        """The call has come to its end: its release goes out on the connection of its set-up, failing that
        on any open one, and on the next connection opened as well."""
        if self.dead or not call.stands:
            return
        call.stands, call.over_at = False, self.record.now()
        message = {"type": "release", "id": call.id, "fields": {}, "cause": cause}
        link = call.link if call.link.open else next((l for l in self.links if l.open), None)
        self.record.say(self.name, f"{'link %d' % link.number if link else 'no link'} release {call.id} cause {cause}")
        if link:
            link.send(message)
        self.unsent.append(message)

    def stop(self):
        """The process ends: its connections are reset and its calls cut."""
        self.dead = True
        self.record.say(self.name, "the process ends: connections reset, calls cut")
        self.listener.close()
        for call in self.calls.values():
            if call.over_at is None:
                call.cut, call.over_at, call.stands = True, self.record.now(), False
        for link in self.links:
            link.writer.transport.abort()


# ---- callers ----


class Attach:
    def __init__(self, cid, at):
        self.id, self.at = cid, at
        self.status, self.answered_at, self.sdp, self.released_at, self.answers = None, None, None, None, 0


class Callers:
    """Callers on connections of their own; each connection carries many calls."""

    def __init__(self, record, address, seed=7):
        self.record, self.address, self.rng = record, address, random.Random(seed)
        self.attaches, self.connections = {}, []

    async def connect(self):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        connection = [writer, True, len(self.connections) + 1]
        self.connections.append(connection)
        task = asyncio.ensure_future(self.read(connection, reader))
        connection.append(task)
        return connection

    def set_up(self, connection, service="voice", ms=9000, dest=0, headers="", body=None):
        cid = call_id(self.rng)
        attach = self.attaches[cid] = Attach(cid, self.record.now())
        body = body if body is not None else f"{cid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        connection[0].write((f"INVITE sip:{call_id(self.rng)}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {cid}\r\n"
                             f"CSeq: 1 INVITE\r\nX-Service: {service}\r\nX-Setup-Ms: {ms}\r\n"
                             f"X-Route: dest:{dest};width:1;via:-1\r\n{headers}"
                             f"Content-Length: {len(body.encode())}\r\n\r\n{body}").encode())
        self.record.say("caller", f"connection {connection[2]} set-up {cid} dest {dest}")
        return attach

    def hand_over(self, connection, attach, server):
        """The call stands already, at that server; no answer is wanted."""
        self.record.say("caller", f"connection {connection[2]} hands over {attach.id} at {server}")
        connection[0].write((f"INVITE sip:{call_id(self.rng)}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {attach.id}\r\n"
                             f"CSeq: 1 INVITE\r\nX-Service: voice\r\nX-Setup-Ms: 9000\r\n"
                             f"X-Route: dest:0;width:1;via:-1;at:{server}\r\nContent-Length: 2\r\n\r\n\r\n").encode())

    async def read(self, connection, reader):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                size = int(re.search(r"(?im)^content-length: *(\d+)", head).group(1))
                body = (await reader.readexactly(size)).decode()
                self.message(connection, head, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        connection[1] = False
        self.record.say("caller", f"connection {connection[2]} has ended")

    def message(self, connection, head, body):
        first = head.split("\r\n", 1)[0]
        cid = re.search(r"(?im)^call-id: *(\S+)", head)
        cid = cid.group(1) if cid else "-"
        attach = self.attaches.get(cid)
        now = self.record.now()
        self.record.say("caller", f"connection {connection[2]} reads {first} {cid}")
        if first.startswith("SIP/2.0 "):
            status, method = int(first.split()[1]), re.search(r"(?im)^cseq: *\d+ (\S+)", head)
            if attach and method and method.group(1) == "INVITE" and status >= 200:
                attach.answers += 1
                attach.status, attach.answered_at, attach.sdp = status, now, body
                connection[0].write((f"ACK sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {cid}\r\n"
                                     f"CSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n").encode())
        elif first.startswith("BYE "):
            if attach and attach.released_at is None:
                attach.released_at = now
            via = re.search(r"(?im)^via: *(.*?)\r?$", head).group(1)
            connection[0].write((f"SIP/2.0 200 OK\r\nVia: {via}\r\nCall-ID: {cid}\r\nCSeq: 2 BYE\r\n"
                                 f"Content-Length: 0\r\n\r\n").encode())


# ---- the front ----


def settings(**over):
    """Settings of a small deployment: the figures of one procedure and of the rules."""
    aim, deadline = over.get("aim", 2.0), over.get("deadline", 9.0)
    return {"classes": [{"name": "voice", "worth": 1.0, "aim_s": aim, "deadline_s": deadline, "late_share": 0.25}],
            "domain": {"class_cells": [[0, 1, 2, 3]], "guard_s": 0.5, "tells_wait": False},
            "limits": {"cancelling": True, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
                       "most_held": 2000, "probes": True, "retry_after": True},
            "safety": {"start_capacity": 0.3, "tip_multiple": 2.0, "warm_after_s": 10.0, "fall_s": 1.0},
            "stats": {"fields": ["free", "size", "latency_ms"]}}


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Front:
    """One front, started by the line `run` of the deploy file from the root of the repository."""

    def __init__(self, record, feed_address, known, memory_mb=64, sockets=256, name="n0", **over):
        self.record, self.name = record, name
        self.listen = "127.0.0.1:%d" % free_port()
        self.folder = tempfile.mkdtemp(prefix="front-")
        self.config = os.path.join(self.folder, "config.json")
        self.file = {"name": name, "listen": self.listen, "seed": "8c1f30d27a5be964", "feed": feed_address,
                     "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                     "known": known, "settings": settings(**over)}
        self.write_config()
        self.process = None

    def write_config(self):
        with open(self.config + ".new", "w") as f:
            json.dump(self.file, f)
        os.replace(self.config + ".new", self.config)

    def start(self, log):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = re.search(r'(?m)^run = "(.*)"', f.read()).group(1)
        env = dict(os.environ, ROUTER_CONFIG=self.config, ROUTER_LISTEN=self.listen, ROUTER_NAME=self.name,
                   TMPDIR=self.folder)
        env.setdefault("RUST_LOG", "info,may=warn")
        self.log = open(log, "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.record.say("front", f"started, process {self.process.pid}, at {self.listen}")

    async def ready(self, within=30.0):
        host, port = self.listen.split(":")
        until = time.time() + within
        while time.time() < until and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000001\r\n"
                             b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if b" 200 " in line:
                    self.record.say("front", "in service")
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def known_list(servers):
    members = [s.entry() for s in servers]
    event = {"n": 1, "members": {"revision": 1, "complete": True, "members": members}}
    return {"n": 1, "events": [event]}


def main(case):
    """Runs a case: `case(record, folder, trouble)` returns True if the rule held, False if it was broken."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say("case", f"TROUBLE={'1' if trouble else '0'}")
    asyncio.run(run_case(case, record, folder, trouble))


async def run_case(case, record, folder, trouble):
    fronts = []

    def stopped():
        for front in fronts:
            front.end()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped)
    try:
        held = await asyncio.wait_for(case(record, folder, trouble, fronts), 110)
        code = 0 if held else 1
    except Exception as why:  # the case itself failed: no verdict on the rule
        record.verdict(f"the case could not run: {type(why).__name__}: {why}")
        code = 2
    for front in fronts:
        front.end()
    record.say("case", f"exit code {code}")
    sys.stdout.flush()
    os._exit(code)
