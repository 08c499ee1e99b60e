"""Stand-ins for the cases of the second review: the control feed, signalling servers, callers, and the start
of the front by the `run` line of the deploy file. Standard library only; loopback addresses only.

Every stand-in keeps to the protocol page. Where the page is silent it behaves like a sound peer."""

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
TOLD_S = 1.0  # told_ms of the site files


class CannotRun(Exception):
    """The case could not be carried out; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begin = time.time()

    def now(self):
        return time.time() - self.begin

    def add(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:<11} {text}\n")


# ---- the control feed ----

feeds = []


class Feed:
    """Numbered events over server-sent events; a comment every second."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.writers = []
        self.port = None
        feeds.append(self)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.comments = asyncio.ensure_future(self.comment())

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        match = re.search(rb"(?i)last-event-id: *(\d+)", head)
        after = int(match.group(1)) if match else 0
        self.record.add("feed", f"request after event {after}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        for event in self.events:
            if event["n"] > after:
                self.write(writer, event)
        self.writers.append(writer)

    def write(self, writer, event):
        writer.write(f"id: {event['n']}\ndata: {json.dumps(event)}\n\n".encode())

    async def comment(self):
        while True:
            await asyncio.sleep(1)
            for writer in self.writers:
                if not writer.is_closing():
                    writer.write(b": still here\n\n")

    def add(self, members, complete=False, tell=True):
        """A change of the list; with `tell` it goes to the connected fronts at once."""
        n = len(self.events) + 1
        event = {"n": n, "members": {"revision": n, "complete": complete, "members": members}}
        self.events.append(event)
        self.record.add("feed", f"event {n}: {json.dumps(members)}")
        if tell:
            for writer in self.writers:
                if not writer.is_closing():
                    self.write(writer, event)

    def known(self):
        return {"n": len(self.events), "events": list(self.events)}

    def close(self):
        self.comments.cancel()
        self.server.close()
        for writer in self.writers:
            writer.close()


# ---- a signalling server ----


class Link(asyncio.Protocol):
    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.open = False

    def connection_made(self, transport):
        self.transport = transport
        self.open = True
        self.server.linked(self)

    def data_received(self, data):
        self.buffer += data
        while b"\n" in self.buffer:
            line, self.buffer = self.buffer.split(b"\n", 1)
            self.server.line(self, json.loads(line))

    def connection_lost(self, error):
        self.open = False
        self.server.unlinked(self)

    def send(self, message):
        if self.open and not self.transport.is_closing():
            self.transport.write(json.dumps(message).encode() + b"\n")

    def reset(self):
        if self.open:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class Server:
    """A signalling server: one processor with one line, `work` seconds a set-up; a call stands for `hold`
    seconds or, if that is None, until somebody releases it."""

    def __init__(self, record, name, cell=0, size=200, work=0.005, hold=None, zone="east"):
        self.record, self.name, self.cell, self.size, self.zone = record, name, cell, size, zone
        self.work, self.hold = work, hold
        self.links, self.calls, self.waiting = [], {}, {}
        self.unsaid = []  # releases to be said on the next connection opened as well
        self.busy_until = 0.0
        self.setups, self.pings, self.released_by_front, self.ended = [], [], {}, {}
        self.max_links = None
        self.links_made = 0
        self.silent = False
        self.is_process = 1
        self.load_fields = {}
        self.telling = None
        self.accept_after = 0.0  # how late the process takes a new connection, seconds

    async def start(self, port=0):
        self.loop = asyncio.get_running_loop()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.setblocking(False)
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        self.accepting(True)
        if self.telling is None:
            self.telling = asyncio.ensure_future(self.tell_state())

    def accepting(self, yes):
        if yes:
            self.loop.add_reader(self.listener, self.accept)
        else:
            self.loop.remove_reader(self.listener)

    def accept(self):
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, OSError):
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        asyncio.ensure_future(self.take(sock))

    async def take(self, sock):
        if self.accept_after:
            await asyncio.sleep(self.accept_after)
        await self.loop.connect_accepted_socket(lambda: Link(self), sock)

    def member(self, phase="up", started=0):
        return {"id": self.name, "host_port": f"{HOST}:{self.port}", "locality": self.zone, "flavor": "std",
                "cell": self.cell, "phase": phase, "size": self.size, "up_since_ms": int(started * 1000)}

    def load(self):
        return f"x0:{self.size - len(self.calls)};x1:{self.size}" + "".join(
            f";{k}:{v}" for k, v in self.load_fields.items())

    def linked(self, link):
        self.links.append(link)
        self.links_made += 1
        link.number = self.links_made
        self.record.add(self.name, f"connection {link.number} opened, {len(self.links)} open")
        link.send({"type": "state", "id": "", "fields": {"load": self.load()}})
        for message in self.unsaid:
            self.record.add(self.name, f"says again on connection {link.number}: {message}")
            link.send(message)
        self.unsaid = []

    def unlinked(self, link):
        if link in self.links:
            self.links.remove(link)
        self.record.add(self.name, f"connection {link.number} closed, {len(self.links)} open")
        # When a connection is closed, the set-ups open on it are given up.
        for id in [id for id, at in self.waiting.items() if at is link]:
            del self.waiting[id]
            self.record.add(self.name, f"set-up {id} given up with its connection")

    async def tell_state(self):
        """The state is told unasked every second, where it has changed, on four open connections at most."""
        told = None
        while True:
            await asyncio.sleep(TOLD_S)
            if not self.silent and self.load() != told:
                told = self.load()
                for link in self.links[:4]:
                    link.send({"type": "state", "id": "", "fields": {"load": told}})

    def line(self, link, message):
        if self.silent:
            return
        kind, id = message["type"], message["id"]
        if kind == "setup":
            self.record.add(self.name, f"set-up {id} on connection {link.number}")
            self.setups.append((time.time(), id, self.is_process))
            self.waiting[id] = link
            begin = max(self.busy_until, time.time())
            self.busy_until = begin + self.work
            self.loop.call_later(self.busy_until - time.time(), self.answer, link, id, self.is_process)
        elif kind == "ping":
            self.pings.append(time.time())
            link.send({"type": "pong", "id": id, "fields": {"load": self.load()}, "cause": 1})
        elif kind == "release":
            self.released_by_front[id] = time.time()
            self.waiting.pop(id, None)
            stood = self.calls.pop(id, None) is not None
            self.record.add(self.name, f"front releases {id}, cause {message.get('cause')}, stood: {stood}")
            link.send({"type": "released", "id": id, "fields": {}})

    def answer(self, link, id, process):
        if self.silent or self.waiting.get(id) is not link or process != self.is_process:
            return
        del self.waiting[id]
        self.calls[id] = (link, time.time())
        self.record.add(self.name, f"answers {id} on connection {link.number}")
        link.send({"type": "answer", "id": id, "fields": {"load": self.load()}, "sdp": f"run {id} at {self.name}\r\n"})
        if self.hold is not None:
            self.loop.call_later(self.hold, self.end_call, id, 16, process)

    def end_call(self, id, cause=16, process=None):
        """The call comes to its end here: its release goes to the connection of its set-up, failing that to any
        open one, and to the next one opened as well."""
        if id not in self.calls or process not in (None, self.is_process):
            return
        link, _ = self.calls.pop(id)
        self.ended[id] = time.time()
        message = {"type": "release", "id": id, "fields": {"load": self.load()}, "cause": cause}
        at = link if link.open else next(iter(self.links), None)
        self.record.add(self.name, f"releases {id}, cause {cause}, on connection {at.number if at else None}")
        if at:
            at.send(message)
        self.unsaid.append(message)

    # -- disruptions --

    def vanish(self):
        """The machine is gone: open connections stay open and silent, new ones never come up."""
        self.silent = True
        self.accepting(False)
        for link in self.links:
            link.transport.pause_reading()
        self.listener.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)
        self.cut = {id: time.time() for id in self.calls}
        self.calls, self.waiting = {}, {}
        self.record.add(self.name, f"the machine vanishes; calls cut: {sorted(self.cut)}")

    def come_back(self):
        """The machine is back with a new process: old connections are reset, nothing of before is known."""
        self.is_process += 1
        for filler in self.fillers:
            filler.close()
        self.links, old = [], self.links
        self.unsaid, self.busy_until, self.silent = [], 0.0, False
        self.record.add(self.name, "the machine is back with a new process")
        for link in old:
            link.reset()
        self.listener.listen(64)
        self.accepting(True)

    def refuse(self):
        """At its connection maximum: new connections are refused, everything else goes on."""
        self.record.add(self.name, "at its connection maximum: refuses new connections")
        self.accepting(False)
        self.listener.close()

    def close_links(self):
        self.record.add(self.name, "closes its idle connections")
        for link in list(self.links):
            link.transport.close()

    def die(self):
        """The process dies: its connections are reset, its calls cut, new connections are refused."""
        self.cut = {id: time.time() for id in self.calls}
        self.record.add(self.name, f"the process dies; calls cut: {sorted(self.cut)}")
        self.accepting(False)
        self.listener.close()
        self.calls, self.waiting, self.unsaid, self.busy_until = {}, {}, [], 0.0
        self.is_process += 1
        self.links, old = [], self.links
        for link in old:
            link.reset()

    async def listen_again(self):
        self.record.add(self.name, "listens again at its address")
        await self.start(self.port)


# ---- callers ----


class Call:
    def __init__(self, id, number):
        self.id, self.number = id, number
        self.answers, self.byes = [], []
        self.sent_at = self.stood_at = None
        self.connection = None
        self.server = None

    def first_bye(self):
        return self.byes[0][0] if self.byes else None


class CallerConnection(asyncio.Protocol):
    def __init__(self, callers):
        self.callers, self.buffer, self.open = callers, b"", False

    def connection_made(self, transport):
        self.transport, self.open = transport, True
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, error):
        self.open = False
        self.callers.lost(self)

    def data_received(self, data):
        self.buffer += data
        while True:
            self.buffer = self.buffer.lstrip(b"\r\n") if self.buffer[:1] in b"\r\n" else self.buffer
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end].decode()
            length = int(re.search(r"(?im)^(?:content-length|l) *: *(\d+)", head).group(1))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length].decode()
            self.buffer = self.buffer[end + 4 + length:]
            self.callers.message(self, head, body)

    def send(self, lines, body=""):
        if self.open and not self.transport.is_closing():
            head = "\r\n".join(lines + [f"Content-Length: {len(body.encode())}"])
            self.transport.write((head + "\r\n\r\n" + body).encode())


class Callers:
    """Callers that share some connections to one front, and confirm every release with 200."""

    def __init__(self, record, front, service="voice", patience_ms=3000, first=0):
        self.record, self.front, self.service, self.patience_ms = record, front, service, patience_ms
        self.calls, self.next, self.tested = {}, first, None
        self.connections = []
        self.who = "caller"
        self.confirms = True  # answers a release with 200 ...
        self.knows_all = True  # ... also of a call that it has not set up itself; else that with 481

    async def connect(self):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: CallerConnection(self), HOST, self.front.port)
        self.connections.append(connection)
        return connection

    def lost(self, connection):
        if connection in self.connections:
            self.connections.remove(connection)

    def new_id(self):
        self.next += 1
        return f"{self.next * 0x9e3779b97f4a7c15 & 0xffffffffffffffff:016x}"

    def head(self, method, id, cseq=1):
        return ["Via: SIP/2.0/TCP peer", f"Call-ID: {id}", f"CSeq: {cseq} {method}"]

    def invite(self, connection, dest=0, again=False):
        id = self.new_id()
        call = self.calls[id] = Call(id, f"{self.next:016x}")
        call.connection, call.sent_at = connection, time.time()
        route = f"dest:{dest};width:1;via:-1" + (";again:1" if again else "")
        self.record.add(self.who, f"INVITE {id}")
        connection.send([f"INVITE sip:{call.number}@net SIP/2.0", *self.head("INVITE", id),
                         f"X-Service: {self.service}", f"X-Setup-Ms: {self.patience_ms}", f"X-Route: {route}"],
                        f"{id}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
        return call

    def hand_over(self, connection, call):
        """A standing call is named to a front again: `at` its server; no answer is owed."""
        call.connection = connection
        self.record.add(self.who, f"INVITE {call.id} at:{call.server}")
        connection.send([f"INVITE sip:{call.number}@net SIP/2.0", *self.head("INVITE", call.id),
                         f"X-Service: {self.service}", f"X-Setup-Ms: {self.patience_ms}",
                         f"X-Route: dest:0;width:1;via:-1;at:{call.server}"],
                        f"{call.id}\r\nc=IN IP4 {HOST}\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")

    def bye(self, connection, call):
        self.record.add(self.who, f"BYE {call.id}")
        connection.send(["BYE sip:peer@net SIP/2.0", *self.head("BYE", call.id, 2), "Reason: Q.850;cause=16"])

    def options(self, connection):
        connection.send(["OPTIONS sip:ping@net SIP/2.0", *self.head("OPTIONS", self.new_id())])

    def message(self, connection, head, body):
        first = head.split("\r\n")[0]
        id = re.search(r"(?im)^(?:call-id|i) *: *(\S+)", head)
        id = id.group(1) if id else None
        cseq = re.search(r"(?im)^cseq *: *\d+ +(\S+)", head)
        method = cseq.group(1) if cseq else None
        call = self.calls.get(id)
        if first.startswith("SIP/2.0 "):
            status = int(first.split()[1])
            if method == "OPTIONS":
                self.tested = (time.time(), status)
            if call is None or status < 200 or method != "INVITE":
                return
            self.record.add(self.who, f"{status} to {id}, {body.strip()!r}")
            call.answers.append((time.time(), status, body))
            connection.send([f"ACK sip:{call.number}@net SIP/2.0", *self.head("ACK", id)])
            if status == 200:
                call.stood_at = time.time()
                call.server = body.split(" at ")[-1].strip()
        elif first.startswith("BYE ") and method:
            self.record.add(self.who, f"gets BYE {id}: {(re.findall('cause=[0-9]+', head) or [''])[0]}")
            if call is not None:
                call.byes.append((time.time(), head))
            via = re.findall(r"(?im)^via *:.*$", head)
            known = self.knows_all or call is not None
            if self.confirms:
                status = "200 OK" if known else "481 Call/Transaction Does Not Exist"
                self.record.add(self.who, f"answers {status} to BYE {id}")
                connection.send([f"SIP/2.0 {status}", *[v.strip() for v in via], f"Call-ID: {id}", "CSeq: 2 BYE"])


# ---- the front ----


def run_line():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'(?m)^run = "(.*)"', file.read()).group(1)


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def settings(site):
    """Start-up settings of a small deployment, with the figures of the site's file."""
    classes = [{"name": "voice", "worth": 1.0, "aim_s": 2.0, "deadline_s": 9.0, "late_share": 0.25,
                "idempotency": "safe", "key_scope": "all", "stream": True, "window_s": 5.0}]
    probes = site != "despacho-uy"
    return {"classes": classes,
            "domain": {"class_cells": [[0, 1, 2, 3]], "guard_s": 0.5, "tells_wait": False, "layout": "pools"},
            "limits": {"cancelling": True, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
                       "most_held": 2000, "probes": probes, "retry_after": True, "second_copies": False,
                       "keepalive_s": 600.0},
            "safety": {"start_capacity": 0.29, "tip_multiple": 2.0, "warm_after_s": 15.0, "fall_s": 1.0,
                       "drain_grace_s": 0.25},
            "stats": {"fields": ["free", "size"], "source": "answers"}}


class Front:
    def __init__(self, record, folder, name, feed, site, change=None, sockets=256):
        self.record, self.folder, self.name, self.feed = record, folder, name, feed
        self.port, self.sockets = free_port(), sockets
        self.settings = settings(site)
        if change:
            change(self.settings)
        self.process = None
        self.seed = 0x8c1f30d27a5be964

    def configure(self, known=None):
        self.seed += 1
        self.config = os.path.join(self.folder, f"{self.name}.json")
        with open(self.config, "w") as file:
            json.dump({"name": self.name, "listen": f"{HOST}:{self.port}", "seed": f"{self.seed:016x}",
                       "feed": f"{HOST}:{self.feed.port}",
                       "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
                       "known": self.feed.known() if known is None else known, "settings": self.settings}, file)

    async def start(self, known=None):
        self.configure(known)
        place = dict(os.environ, ROUTER_CONFIG=self.config, ROUTER_LISTEN=f"{HOST}:{self.port}",
                     ROUTER_NAME=self.name, TMPDIR=self.folder, RUST_LOG="debug,may=warn")
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_line()], cwd=ROOT, env=place, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.add(self.name, f"started, process {self.process.pid}")
        until = time.time() + 30
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the front ended with {self.process.returncode}")
            try:
                tester = Callers(self.record, self, first=1 << 40)
                connection = await tester.connect()
                tester.options(connection)
                for _ in range(50):
                    await asyncio.sleep(0.01)
                    if tester.tested:
                        connection.transport.close()
                        self.record.add(self.name, "passes its test")
                        return
                connection.transport.close()
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("the front is not ready after 30 s")

    def kill(self):
        self.record.add(self.name, "SIGKILL")
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.record.add(self.name, "SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def alive(self):
        return self.process.poll() is None


async def until(condition, seconds, what):
    """Waits for a condition that has to come true for the case to make sense."""
    end = time.time() + seconds
    while not condition():
        if time.time() > end:
            raise CannotRun(f"after {seconds} s: not {what}")
        await asyncio.sleep(0.02)


async def closing(case, record, folder):
    try:
        return await case(record, folder)
    finally:
        for feed in feeds:
            feed.close()
        await asyncio.sleep(0.05)


def main(file, case):
    """Runs a case: `case(record, folder)` returns what breaks the rule, as a list of sentences."""
    here = os.path.dirname(os.path.abspath(file))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that the front is ended too
    record = Record(os.path.join(here, "record.txt"))
    record.add("case", f"TROUBLE={int(TROUBLE)}")
    fronts = []
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        original = Front.start

        async def start(self, *args, **names):
            fronts.append(self)
            await original(self, *args, **names)

        Front.start = start
        try:
            broken = asyncio.run(asyncio.wait_for(closing(case, record, folder), 110))
            for front in fronts:
                if not front.alive() and front.process.returncode not in (0, -signal.SIGKILL):
                    broken.append(f"front {front.name} ended with {front.process.returncode}")
            for sentence in broken:
                record.add("verdict", sentence)
                print(sentence)
            code = 1 if broken else 0
        except CannotRun as why:
            record.add("verdict", f"could not run: {why}")
            print(f"could not run: {why}")
        except Exception:
            record.add("verdict", "could not run")
            traceback.print_exc()
        finally:
            for front in fronts:
                if front.process and front.alive():
                    front.process.kill()
                    front.process.wait()
            keep = os.environ.get("KEEP_LOG")
            if keep:
                for name in os.listdir(folder):
                    os.replace(os.path.join(folder, name), os.path.join(keep, name))
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    record.add("verdict", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
