"""Stand-ins of the operators' platform for the cases of the second review.

One asyncio process holds the store, the links, the targets and the requesters;
the project's programs run beside it as separate processes, with the commands of
deploy/system.toml and with its settings' templates. All addresses are loopback.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import traceback
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/platform/briarfield-platform"

SYN, ACK, FIN, RST, BOUNCED = 128, 2, 64, 16, 1
HEAD = struct.Struct("<IIIHIIHHB5sI")


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0):
        self.src, self.dst = src, dst
        self.flags, self.seq, self.ack = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.data, self.echo = data, echo

    def body(self, total=0, echo=0):
        return HEAD.pack(echo, self.seq, self.ack, self.dst[1],
                         number(self.dst[0]), number(self.src[0]), self.src[1],
                         len(self.data), self.flags, b"\0" * 5, total) + self.data

    def encode(self):
        """The packet as its sender writes it, with its keyed sum."""
        return self.body(zlib.crc32(b"key-of-the-ends" + self.body()))


def decode(raw):
    """Returns the packet and whether its sum is right, or None."""
    if len(raw) < HEAD.size:
        return None
    echo, seq, ack, dport, dst, src, sport, size, flags, _pad, total = \
        HEAD.unpack_from(raw)
    if len(raw) != HEAD.size + size:
        return None
    p = Packet((text(src), sport), (text(dst), dport), flags & ~BOUNCED, seq,
               ack, raw[HEAD.size:], echo)
    own_reset = flags == RST and total == 0 and size == 0
    p.system_reset = own_reset
    p.good = own_reset or total == zlib.crc32(b"key-of-the-ends" + p.body())
    return p


class Record:
    """What was sent, answered and run; record.txt beside the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, line):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, line))
        self.file.flush()


class Store:
    """The platform's store: objects, lists, watches, conditional writes."""

    PAGE = 500  # Objects in one answer to a list.

    def __init__(self, address):
        self.address = address
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.kinds.setdefault(kind, {}).get(name)
        created = old["meta"]["CreatedRev"] if old else self.revision
        item = {"meta": {"Name": name, "Revision": self.revision,
                         "CreatedRev": created, "Finalizers": [],
                         "Deleting": False},
                "spec": spec, "status": {}}
        self.kinds[kind][name] = item
        self.announce(kind, item, False)
        return item

    def announce(self, kind, item, removed):
        self.events.append((self.revision, kind, {"Object": item, "Removed": removed}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split("\r\n")[0].split(" ")
                size = re.search(r"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(size.group(1))) if size else b""
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                raw = json.dumps(answer, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(raw)) + raw)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError,
                ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(q.split("=", 1) for q in query.split("&") if "=" in q)
        parts = path.strip("/").split("/")  # "-", "objects", KIND, NAME
        kind = parts[2]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) > 3:
            item = objects.get(parts[3])
            return (200, item) if item else (404, {})
        if method == "GET" and "Watch" in options:
            return await self.watch(kind, int(options["Watch"]),
                                    int(options.get("WaitMs", "0")) / 1000)
        if method == "GET":
            names = [n for n in sorted(objects) if n > options.get("after", "")]
            return 200, {"items": [objects[n] for n in names[:self.PAGE]],
                         "More": len(names) > self.PAGE, "AsOf": self.revision}
        sent = json.loads(body) if body else {}
        name = parts[3] if len(parts) > 3 else sent["meta"]["Name"]
        item = objects.get(name)
        if method == "POST" and item:
            return 409, item
        if method != "POST" and not item:
            return 404, {}
        wanted = options.get("Revision") or sent.get("meta", {}).get("Revision")
        if wanted is not None and item and int(wanted) != item["meta"]["Revision"]:
            return 409, item
        if method == "DELETE":
            self.revision += 1
            del objects[name]
            self.announce(kind, item, True)
            return 200, item
        if item and item["spec"] == sent["spec"]:
            return 200, item
        return 200, self.put(kind, name, sent["spec"])

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            found = [e for r, k, e in self.events if r > since and k == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Link:
    """The incoming link of a machine: everything shares its rate, in order."""

    CREDIT = 0.05  # Seconds of idle time that may be caught up.

    def __init__(self, mbit_per_s):
        self.rate = mbit_per_s * 1e6 / 8
        self.free = 0.0

    async def pass_through(self, size):
        now = time.monotonic()
        self.free = max(self.free, now - self.CREDIT) + size / self.rate
        if self.free > now:
            await asyncio.sleep(self.free - now)


class StoreLink:
    """Connections of a machine to the store; answers come over its link."""

    def __init__(self, address, store, link):
        self.address, self.store, self.link = address, store, link

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.store)
        except OSError:
            writer.close()
            return
        down = asyncio.ensure_future(self.pump(up_reader, writer, self.link))
        await self.pump(reader, up_writer, None)
        down.cancel()
        for w in (writer, up_writer):
            w.close()

    @staticmethod
    async def pump(reader, writer, link):
        try:
            while True:
                data = await reader.read(1400)
                if not data:
                    break
                if link:
                    await link.pass_through(len(data) + 54)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)


async def bind_udp(address, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address)
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
    return transport


class Target:
    """A target: holds flows, answers requests, returns what it does not hold."""

    def __init__(self, record, ident, service, app, outbound, control, zone):
        self.record, self.ident, self.service = record, ident, service
        self.app, self.outbound, self.control, self.zone = app, outbound, control, zone
        self.flows = {}
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)

    async def start(self):
        self.transport = await bind_udp(self.app, self.on_datagram)
        self.beats = asyncio.ensure_future(self.beat())

    def send(self, p):
        self.transport.sendto(p.encode(), self.outbound)

    def on_datagram(self, raw, _addr):
        p = decode(raw)
        if p is None or not p.good:
            self.record("target %s DAMAGED PACKET" % self.ident)
            return
        key = (p.src, p.dst)
        flow = self.flows.get(key)
        if p.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"seq": random.getrandbits(31) + 100000,
                                          "open": False, "answers": {}}
            self.send(Packet(p.dst, p.src, SYN | ACK, flow["seq"], p.seq + 1))
            return
        if flow is None or (not flow["open"] and p.ack != flow["seq"] + 1):
            back = bytearray(raw)
            back[26] |= BOUNCED
            back[27:32] = b"\0" * 5
            self.transport.sendto(bytes(back), self.outbound)
            return
        flow["open"] = True
        if p.flags & RST:
            del self.flows[key]
        elif p.flags & FIN:
            self.send(Packet(p.dst, p.src, FIN | ACK, p.ack, p.seq + 1))
            del self.flows[key]
        elif p.data:
            ident = p.data.split(b" ", 1)[0]
            if ident not in flow["answers"]:
                flow["answers"][ident] = True
                if ident.startswith(b"test"):
                    self.record("target %s of %s runs %s" % (
                        self.ident, self.service, ident.decode()))
            self.send(Packet(p.dst, p.src, ACK, p.ack, p.seq + len(p.data),
                             ident + b" " + self.service.encode() + b" "))

    async def beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(1.1)

    async def check_in(self, method="PUT"):
        self.sequence += 1
        body = b"" if method == "DELETE" else json.dumps({
            "Service": self.service, "Address": "%s:%d" % self.app,
            "Zone": self.zone, "Version": "v1", "MaxConcurrency": 64,
            "State": self.state, "WarmupLeftMs": 0, "Sequence": self.sequence,
            "born": self.born}).encode()
        try:
            reader, writer = await asyncio.open_connection(*self.control)
            writer.write(b"%s /-/instances/%s HTTP/1.1\r\nHost: node\r\n"
                         b"Content-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (
                             method.encode(), self.ident.encode(), len(body)) + body)
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


class Flow:
    """A requester's end of a flow."""

    def __init__(self, source, destination):
        self.source, self.destination = source, destination
        self.seq = random.getrandbits(31)
        self.ack = 0
        self.state = "opening"
        self.waiting = None
        self.answer = None
        self.changed = asyncio.Event()


class Requesters:
    """Requesters at one address; packets leave through a router function."""

    def __init__(self, record, address, route):
        self.record, self.address, self.route = record, address, route
        self.flows = {}
        self.port = 20000
        self.resets_of_open = []

    async def start(self):
        self.transport = await bind_udp(self.address, self.on_datagram)

    def send(self, flow, p):
        to = self.route(flow)
        if to:
            self.transport.sendto(p.encode(), to)

    def on_datagram(self, raw, addr):
        p = decode(raw)
        flow = self.flows.get(p.dst[1]) if p else None
        if p and not p.good:
            self.record("requester DAMAGED PACKET")
        if flow is None or not p.good:
            return
        if p.flags & RST:
            if flow.state == "opening":
                flow.state = "refused"
            elif flow.state == "open":
                # A reset outside the window around the last ack is ignored.
                if p.system_reset and abs(p.seq - flow.ack) > 76800:
                    return
                flow.state = "reset"
                flow.reset_by = addr[0]
                self.resets_of_open.append((flow, p.system_reset))
        elif p.flags & SYN:
            if flow.state == "opening":
                flow.state = "open"
                flow.seq = (flow.seq + 1) & 0xFFFFFFFF
                flow.ack = (p.seq + 1) & 0xFFFFFFFF
        elif p.data and flow.state == "open":
            ident = p.data.split(b" ", 1)[0]
            if flow.waiting == ident:
                flow.waiting = None
                flow.seq = (flow.seq + flow.size) & 0xFFFFFFFF
                flow.ack = (flow.ack + len(p.data)) & 0xFFFFFFFF
                flow.answer = p.data
                self.send(flow, Packet(flow.source, flow.destination, ACK,
                                       flow.seq, flow.ack))
        else:
            return
        flow.changed.set()

    async def wait(self, flow, condition, seconds):
        until = time.monotonic() + seconds
        while not condition() and time.monotonic() < until:
            flow.changed.clear()
            if condition():
                break
            try:
                await asyncio.wait_for(flow.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        return condition()

    async def open(self, destination, via=None):
        self.port += 1
        flow = Flow((self.address[0], self.port), destination)
        flow.via = via
        self.flows[self.port] = flow
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self.send(flow, Packet(flow.source, destination, SYN, flow.seq, copy))
            if await self.wait(flow, lambda: flow.state != "opening", pause):
                break
        if flow.state == "open":
            self.send(flow, Packet(flow.source, destination, ACK, flow.seq, flow.ack))
        elif flow.state == "opening":
            flow.state = "no answer"
        return flow

    async def request(self, flow, ident, size, deadline=3.0):
        """Sends a request of size bytes in one packet; returns the answer."""
        data = (ident + " ").encode().ljust(size, b".")
        flow.waiting, flow.size, flow.answer = ident.encode(), len(data), None
        until, interval = time.monotonic() + deadline, 0.2
        while time.monotonic() < until and flow.state == "open":
            self.send(flow, Packet(flow.source, flow.destination, ACK, flow.seq,
                                   flow.ack, data))
            if await self.wait(flow, lambda: flow.waiting is None or
                               flow.state != "open",
                               min(interval, until - time.monotonic())):
                break
            interval = min(2 * interval, 1.6)
        return flow.answer

    def forget(self, flow):
        self.flows.pop(flow.source[1], None)


def render(template, values):
    with open(os.path.join(ROOT, template)) as f:
        return re.sub(r"\{\{([^}]*)\}\}", lambda m: values[m.group(1)], f.read())


def free_ports(count):
    held = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Router:
    """The routers of one zone: probes twice a second, hash over the rotation."""

    def __init__(self, world, hosts):
        self.world, self.hosts = world, list(hosts)
        self.misses = {}

    async def run(self):
        while True:
            for host in list(self.hosts):
                asyncio.ensure_future(self.probe(host))
            await asyncio.sleep(0.5)

    async def probe(self, host):
        ready = await self.world.is_ready(host)
        self.misses[host] = 0 if ready else self.misses.get(host, 9) + 1

    def rotation(self):
        return [h for h in self.hosts if self.misses.get(h, 9) < 2]

    def __call__(self, flow):
        hosts = self.rotation() or self.hosts
        host = hosts[zlib.crc32(b"%d" % flow.source[1]) % len(hosts)]
        return (self.world.ip(host), self.world.packets)


class World:
    """Addresses, settings and processes of a small deployment."""

    def __init__(self, config_apply_ms=5000):
        self.net = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        (self.packets, self.ready, self.control, self.outbound, self.app,
         self.internal, self.store_port) = free_ports(7)
        self.folder = tempfile.mkdtemp(prefix="briarfield-case-")
        self.config_apply_ms = config_apply_ms
        self.processes = {}

    def ip(self, host):
        return "%s.%d" % (self.net, host)

    def values(self, name, host, zone, store, seeds, service=""):
        ip = self.ip(host)
        return {
            "NodeName": name, "Zone": zone, "Region": "r", "Ip": ip,
            "platform.Address": "%s:%d" % store, "platform.WritesPerS": "400",
            "Bounds.ConfigApplyMs": str(self.config_apply_ms),
            "ListenAddrs.Ready": "%s:%d" % (ip, self.ready),
            "ListenAddrs.DatagramAddr": "%s:%d" % (ip, self.packets),
            "ListenAddrs.outbound": "%s:%d" % (ip, self.outbound),
            "ListenAddrs.Control": "%s:%d" % (ip, self.control),
            "InternalPortRange.0": str(self.internal),
            "app": "%s:%d" % (ip, self.app), "Service": service,
            "Seeds": ",".join("%s:%d" % (self.ip(h), self.control) for h in seeds),
        }

    async def start(self, role, name, values):
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w") as f:
            f.write(render("deploy/%s.ini" % role, values))
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                       if k in os.environ}
        environment["BRIARFIELD_CONFIG"] = path
        self.processes[name] = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), role, cwd=ROOT, stdout=log,
            stderr=log, env=environment)
        log.close()

    async def stop(self, name, number=signal.SIGTERM):
        process = self.processes.pop(name)
        if process.returncode is None:
            process.send_signal(number)
        await process.wait()

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip(host), self.ready), 0.5)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main, folder):
    """Runs a case and returns its exit code; a case that fails to run gives 2."""
    record = Record(os.path.join(folder, "record.txt"))

    async def whole():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        return await main(record)

    try:
        return asyncio.run(whole())
    except (Exception, asyncio.CancelledError):
        record("the case could not run: " + traceback.format_exc())
        return 2
