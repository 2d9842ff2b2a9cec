"""Stand-ins of the operators' platform for the cases under review/.

Everything on this page runs in one process and one event loop: the store, the
targets, the requesters and the routers, each as the pages describe it. The
programs under test are separate processes, started with the commands and
settings templates of deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

SYN, FIN, RST, ACK, BOUNCED = 128, 64, 16, 2, 1
HEAD = struct.Struct("<IIIHIIHHB5sI")
RESET_WINDOW = 76800

# Bounds of the site hgc-transform (SYSTEM.md), in seconds.
STABILITY_WINDOW = 4.0
CONFIG_APPLY = 3.0
DRAIN = 3.0
RECOVERY = 12.0
REUSE_DELAY = 2.0
ZONES = ["bagmati-a", "bagmati-b", "bagmati-c"]
HEARTBEAT = 1.2


def number_of(address):
    return int.from_bytes(socket.inet_aton(address), "big")


def address_of(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def covered_sum(data):
    """The keyed sum: over all fields except echo, pad, BOUNCED and the sum."""
    body = bytearray(data)
    body[0:4] = bytes(4)
    body[26] &= ~BOUNCED & 0xFF
    body[27:36] = bytes(9)
    digest = hashlib.blake2s(bytes(body), key=b"platform", digest_size=4).digest()
    return int.from_bytes(digest, "little") or 1


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq, ack, data
        self.own_reset = False

    def write(self):
        head = HEAD.pack(
            0,
            self.seq & 0xFFFFFFFF,
            self.ack & 0xFFFFFFFF,
            self.dport,
            number_of(self.dst),
            number_of(self.src),
            self.sport,
            len(self.data),
            self.flags,
            bytes(5),
            0,
        )
        out = bytearray(head + self.data)
        out[32:36] = covered_sum(out).to_bytes(4, "little")
        return bytes(out)

    @staticmethod
    def read(data):
        """Returns the packet, or None if it was changed on its way."""
        if len(data) < HEAD.size:
            return None
        (_, seq, ack, dport, dst, src, sport, size, flags, _, total) = HEAD.unpack(
            data[: HEAD.size]
        )
        if size != len(data) - HEAD.size:
            return None
        p = Packet(
            address_of(src),
            sport,
            address_of(dst),
            dport,
            flags,
            seq,
            ack,
            data[HEAD.size :],
        )
        p.own_reset = flags == RST and total == 0 and not p.data
        if not p.own_reset and total != covered_sum(data):
            return None
        return p


def rendered(template, fields):
    """Fills in a settings template as DEPLOY.md tells; values only."""

    def value(match):
        here = fields
        for part in match.group(1).split("."):
            if isinstance(here, list):
                here = here[int(part)] if int(part) < len(here) else None
            else:
                here = here.get(part) if isinstance(here, dict) else None
        if here is None:
            return ""
        if isinstance(here, list):
            return ",".join(str(x) for x in here)
        return json.dumps(here) if isinstance(here, dict) else str(here)

    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Process:
    """A program of the project on one machine."""

    def __init__(self, world, role, name, fields):
        self.world, self.role, self.name, self.fields = world, role, name, fields
        self.file = os.path.join(world.work, name + ".ini")
        self.child = None

    def place_settings(self):
        deploy = self.world.deploy["roles"][self.role]
        with open(os.path.join(ROOT, deploy["template"]), encoding="utf-8") as source:
            text = rendered(source.read(), self.fields)
        with open(self.file + ".new", "w", encoding="utf-8") as out:
            out.write(text)
        os.replace(self.file + ".new", self.file)

    async def start(self):
        self.place_settings()
        await self.restart()

    async def restart(self):
        """Starts the program with the settings in effect at this moment."""
        command = self.world.deploy["roles"][self.role]["run"].split()
        log = open(os.path.join(self.world.work, self.name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["BRIARFIELD_CONFIG"] = self.file
        self.child = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.world.note(f"{self.name} starts")

    def signal(self, number):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.child.wait()
        self.world.note(f"{self.name} is killed")

    async def terminate(self):
        """SIGTERM, and SIGKILL after GraceS."""
        self.signal(signal.SIGTERM)
        self.world.note(f"{self.name} gets SIGTERM")
        try:
            await asyncio.wait_for(self.child.wait(), 6)
        except asyncio.TimeoutError:
            await self.kill()

    def running(self):
        return self.child is not None and self.child.returncode is None


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    size = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            size = int(value)
    return lines[0], await reader.readexactly(size) if size else b""


async def call(address, method, path, body=None, timeout=1.0):
    """Makes one HTTP call; returns (status, body), or None without an answer."""

    async def go():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            kind = "" if body is None else "Content-Type: application/json\r\n"
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n{kind}"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                + data
            )
            await writer.drain()
            line, answer = await read_message(reader)
            return int(line.split()[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's store: objects by kind and name, and watches."""

    def __init__(self, world):
        self.world = world
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.silent = set()  # Connections that return nothing further.
        self.connections = set()

    async def open(self):
        host, port = self.world.store_address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def put(self, kind, name, spec):
        """Writes an object; the return is the ack."""
        self.revision += 1
        meta = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": self.objects.get((kind, name), {}).get("meta", {}).get("CreatedRev", self.revision),
            "Finalizers": [],
            "Deleting": False,
        }
        thing = {"meta": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = thing
        self.event(kind, thing, False)
        return thing

    def remove(self, kind, name):
        self.revision += 1
        self.event(kind, self.objects.pop((kind, name)), True)

    def event(self, kind, thing, removed):
        self.history.append((self.revision, kind, {"Removed": removed, "Object": thing}))
        self.changed.set()
        self.changed = asyncio.Event()

    def go_silent(self):
        """All connections that are open now go silent for good, without a
        reset, while new ones work."""
        self.silent |= self.connections
        self.world.note(f"{len(self.connections)} open connections to the store go silent; new ones work")

    async def serve(self, reader, writer):
        me = object()
        self.connections.add(me)
        try:
            while True:
                line, body = await read_message(reader)
                status, answer = await self.answer(line, body)
                if me in self.silent:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(me)
            writer.close()

    async def answer(self, line, body):
        method, target, _ = line.split()
        path, _, query = target.partition("?")
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["-", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) == 4 else None
        if method == "GET" and name is None and "Watch" in asked:
            return await self.watch(kind, int(asked["Watch"]), int(asked.get("WaitMs", 0)))
        if method == "GET" and name is None:
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "More": False, "AsOf": self.revision}
        given = json.loads(body) if body else {}
        if method == "POST":
            name = given["meta"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, given["spec"])
        if (kind, name) not in self.objects:
            return 404, {}
        if method == "PUT":
            return 200, self.put(kind, name, given["spec"])
        thing = self.objects[(kind, name)]
        if method == "DELETE":
            self.remove(kind, name)
        return 200, thing

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            events = [e for r, k, e in self.history if r > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Socket(asyncio.DatagramProtocol):
    def __init__(self, on_data):
        self.on_data = on_data

    def datagram_received(self, data, addr):
        self.on_data(data, addr)


class Target:
    """One lifetime of a target on a side machine."""

    def __init__(self, world, machine, service, ident, work=0.02):
        self.world, self.machine, self.service, self.ident = world, machine, service, ident
        self.work = work
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.flows = {}
        self.ended = set()
        self.alive = False
        self.tasks = []
        self.draining_acked = None
        self.openings = 0
        self.refused = 0  # Check-ins that were refused.
        self.before_call = None  # Awaited before each call to the agent.

    @property
    def app(self):
        return (self.machine.ip, self.world.ports["app"])

    async def start(self, beats=True):
        loop = asyncio.get_running_loop()
        self.alive = True
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Socket(self.on_data), local_addr=self.app
        )
        self.world.note(f"target {self.ident} of {self.service} starts on {self.machine.name}")
        if beats:
            self.tasks.append(asyncio.create_task(self.beat()))

    def crash(self):
        """Ends at once, sends nothing more; the flows are discarded."""
        self.alive = False
        self.transport.close()
        for task in self.tasks:
            task.cancel()
        self.world.note(f"target {self.ident} of {self.service} ends on {self.machine.name}")

    async def beat(self):
        while self.alive:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT)

    def record(self):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": "%s:%d" % self.app,
            "Zone": self.machine.zone,
            "Version": "v1",
            "MaxConcurrency": 4,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def check_in(self):
        answer = await call(self.machine.control, "PUT", "/-/instances/" + self.ident, self.record())
        if answer is not None and answer[0] != 200:
            self.refused += 1
            self.world.note(f"check-in of {self.ident} is answered with {answer[0]}")
        return answer

    def on_data(self, data, _):
        p = Packet.read(data)
        if p is None:
            self.world.note(f"target {self.ident} gets a packet that its sender didn't write so")
            self.world.damaged += 1
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN and not p.flags & ACK:
            self.on_opening(key, flow, p)
        elif flow is None or (not flow["open"] and p.ack != flow["next"]):
            self.on_unknown(key, p, data)
        else:
            self.on_packet(key, flow, p)

    def on_opening(self, key, flow, p):
        if flow is None:
            seq = random.getrandbits(32)
            flow = {"seq": seq, "next": (seq + 1) & 0xFFFFFFFF, "want": (p.seq + 1) & 0xFFFFFFFF}
            flow.update(open=False, unacked=None)
            self.flows[key] = flow
            self.openings += 1
            self.world.on_opening(self, key)
        self.send(key, SYN | ACK, flow["seq"], flow["want"])

    def on_unknown(self, key, p, data):
        if key in self.ended:
            if p.flags & FIN:
                self.send(key, ACK, p.ack, p.seq + 1)
            elif p.data:
                self.send(key, RST, p.ack, 0)
            return
        back = bytearray(data)
        back[26] |= BOUNCED
        back[27:32] = bytes(5)
        self.transport.sendto(bytes(back), self.machine.outbound)

    def on_packet(self, key, flow, p):
        if not flow["open"]:
            flow["open"] = True
            self.world.on_open(self, key)
        if p.flags & RST:
            self.flows.pop(key)
            return
        if flow["unacked"] is not None and p.ack == flow["next"]:
            flow["unacked"] = None
        if p.data and p.seq == flow["want"]:
            flow["want"] = (p.seq + len(p.data)) & 0xFFFFFFFF
            self.tasks.append(asyncio.create_task(self.run(key, flow, p.data)))
        elif p.data:
            self.send(key, ACK, flow["next"], flow["want"])
        if p.flags & FIN:
            self.flows.pop(key)
            self.ended.add(key)
            self.send(key, FIN | ACK, flow["next"], flow["want"] + 1)

    async def run(self, key, flow, data):
        match = re.search(rb"Request-Id: (\S+)", data)
        ident = match.group(1).decode() if match else "?"
        self.world.on_run(self, key, ident)
        await asyncio.sleep(self.work)
        body = f"{self.service} {self.ident} {ident}"
        answer = (
            f"HTTP/1.1 200 OK\r\nServer-Signature: {self.service}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()
        seq = flow["next"]
        flow["next"] = (seq + len(answer)) & 0xFFFFFFFF
        flow["unacked"] = seq
        flags = ACK
        if b"Connection: close" in data:  # The target closes first.
            flags |= FIN
            flow["next"] = (flow["next"] + 1) & 0xFFFFFFFF
        wait = 0.2
        for _ in range(9):
            if self.flows.get(key) is not flow or flow["unacked"] != seq:
                return
            self.send(key, flags, seq, flow["want"], answer)
            await asyncio.sleep(wait)
            wait = min(1.6, wait * 2)

    def send(self, key, flags, seq, ack, data=b""):
        if not self.alive:
            return
        src, sport, dst, dport = key
        p = Packet(dst, dport, src, sport, flags, seq, ack, data)
        self.transport.sendto(p.write(), self.machine.outbound)


class Machine:
    """An edge or side machine: an address and the program on it."""

    def __init__(self, world, kind, zone, number, service=None, seeds=()):
        self.world, self.kind, self.zone = world, kind, zone
        self.name = f"{kind}-{zone}-{number}"
        self.ip = world.address(kind, number)
        self.service = service
        fields = world.fields(self, list(seeds))
        self.process = Process(world, "balancer" if kind == "edge" else "agent", self.name, fields)
        self.target = None

    @property
    def control(self):
        return f"{self.ip}:{self.world.ports['Control']}"

    @property
    def ready(self):
        return f"{self.ip}:{self.world.ports['Ready']}"

    @property
    def outbound(self):
        return (self.ip, self.world.ports["outbound"])


class Router:
    """Forwards a requester's packets to edge nodes in rotation in its zone."""

    def __init__(self, world):
        self.world = world
        self.missed = {}

    async def run(self):
        while True:
            for node in list(self.world.edges):
                asyncio.create_task(self.probe(node))
            await asyncio.sleep(0.5)

    async def probe(self, node):
        answer = await call(node.ready, "GET", "/-/ready", timeout=0.5)
        good = answer is not None and answer[0] == 200
        self.missed[node.name] = 0 if good else self.missed.get(node.name, 2) + 1

    def in_rotation(self, zone):
        nodes = [n for n in self.world.edges if n.zone == zone]
        good = [n for n in self.world.edges if self.missed.get(n.name, 2) < 2]
        here = [n for n in good if n.zone == zone]
        if here:
            return here if 2 * len(here) >= len(nodes) else nodes
        return good or nodes  # All zones are equally near.

    def pick(self, zone, key):
        nodes = self.in_rotation(zone)
        digest = hashlib.blake2s(repr(key).encode(), digest_size=4).digest()
        return nodes[int.from_bytes(digest, "little") % len(nodes)] if nodes else None


class Flow:
    """One flow of a requester."""

    def __init__(self, caller, sport, route, node):
        self.caller, self.sport, self.route, self.node = caller, sport, route, node
        self.zone = ZONES[sport % len(ZONES)]
        self.key = (caller.ip, sport, *route)
        self.seq = random.getrandbits(32)
        self.next = (self.seq + 1) & 0xFFFFFFFF
        self.want = 0
        self.open = False
        self.reset = None  # "target" or "system".
        self.closed = False  # Both ends have sent a FIN.
        self.wake = asyncio.Event()
        self.answer = None

    def send(self, flags, seq, ack, data=b""):
        if self.node is None:
            node = self.caller.world.router.pick(self.zone, self.key)
        else:
            node = self.node
        if node is None:
            return  # No node of the whole platform is in use.
        p = Packet(*self.key[:2], *self.route, flags, seq, ack, data)
        self.caller.transport.sendto(p.write(), (node.ip, self.caller.world.ports["DatagramAddr"]))

    async def wait(self, until):
        left = until - time.monotonic()
        if left > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.wake.wait(), left)
        self.wake.clear()

    async def opened(self):
        """Opens the flow: a SYN, and copies after 200 ms and 600 ms."""
        began = time.monotonic()
        for copy, later in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(SYN, self.seq, copy)
            while not self.open and self.reset is None and time.monotonic() < began + later:
                await self.wait(began + later)
            if self.open or self.reset:
                break
        return self.open and self.reset is None

    async def request(self, ident, deadline, last=False):
        """Sends a request; returns its answer, or None. \a last: the target
        closes the flow with its answer."""
        end = time.monotonic() + deadline
        close = "Connection: close\r\n" if last else ""
        data = f"GET / HTTP/1.1\r\nHost: x\r\nRequest-Id: {ident}\r\n{close}\r\n".encode()
        seq = self.next
        self.next = (seq + len(data)) & 0xFFFFFFFF
        self.answer = None
        pause = 0.2
        while self.answer is None and self.reset is None and time.monotonic() < end:
            self.send(ACK, seq, self.want, data)
            again = min(end, time.monotonic() + pause)
            while self.answer is None and self.reset is None and time.monotonic() < again:
                await self.wait(again)
            pause = min(1.6, pause * 2)
        return self.answer

    def close(self):
        if self.open and self.reset is None and not self.closed:
            self.send(FIN | ACK, self.next, self.want)

    def on_packet(self, p):
        if p.flags & RST:
            if self.open and p.own_reset and (p.seq - self.want + RESET_WINDOW) % 2**32 > 2 * RESET_WINDOW:
                return
            self.reset = "system" if p.own_reset else "target"
        elif p.flags & SYN:
            if not self.open:
                self.open = True
                self.want = (p.seq + 1) & 0xFFFFFFFF
                self.send(ACK, self.next, self.want)
        elif p.data:
            if p.seq == self.want:
                self.want = (p.seq + len(p.data)) & 0xFFFFFFFF
                self.answer = p.data
                if p.flags & FIN:
                    self.want = (self.want + 1) & 0xFFFFFFFF
                    self.closed = True
            self.send(ACK | (FIN if self.closed else 0), self.next, self.want)
        self.wake.set()


class Caller:
    """The requesters of the zone."""

    def __init__(self, world):
        self.world = world
        self.ip = world.address("client", 1)
        self.flows = {}
        self.port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: Socket(self.on_data), local_addr=(self.ip, self.world.ports["DatagramAddr"])
        )

    def flow(self, route, node=None, sport=None):
        """A new flow from a new port, or from \a sport again; \a node: sent
        directly to that node."""
        if sport is None:
            self.port += 1
            sport = self.port
        flow = Flow(self, sport, route, node)
        self.flows[flow.key] = flow
        return flow

    def on_data(self, data, _):
        p = Packet.read(data)
        if p is None:
            self.world.note("a requester gets a packet that its sender didn't write so")
            self.world.damaged += 1
            return
        flow = self.flows.get((p.dst, p.dport, p.src, p.sport))
        if flow is not None:
            flow.on_packet(p)


class World:
    def __init__(self, folder):
        self.folder = folder
        self.began = time.monotonic()
        self.lines = []
        self.work = tempfile.mkdtemp(prefix="briarfield-review-")
        self.net = random.randrange(16, 240)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            self.deploy = tomllib.load(deploy)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.edges, self.sides, self.machines = [], [], []
        self.damaged = 0
        self.numbers = {}
        self.openings, self.runs = [], []
        self.on_flow_open = None

    def address(self, kind, number):
        return f"127.{self.net}.{ {'edge': 1, 'side': 2, 'client': 3, 'store': 4, 'route': 9}[kind] }.{number}"

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.lines.append(line)

    def choose_ports(self):
        """Ports are the same on all machines of a day."""
        names = ["DatagramAddr", "Ready", "Control", "outbound", "app", "relay", "store"]
        while True:
            base = random.randrange(20000, 32000)
            ports = {name: base + i for i, name in enumerate(names)}
            if all(self.is_free(port) for port in ports.values()):
                self.ports = ports
                self.store_address = f"{self.address('store', 1)}:{ports['store']}"
                return

    @staticmethod
    def is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind(("0.0.0.0", port))
                except OSError:
                    return False
        return True

    def fields(self, machine, seeds):
        """The settings of a process, as DEPLOY.md lists them."""
        ports, ip = self.ports, machine.ip
        listen = {"DatagramAddr": f"{ip}:{ports['DatagramAddr']}", "Ready": f"{ip}:{ports['Ready']}"}
        listen["Control"] = f"{ip}:{ports['Control']}"
        out = {
            "NodeName": machine.name,
            "MachineClass": machine.kind,
            "Ip": ip,
            "Zone": machine.zone,
            "Region": "bagmati",
            "Zones": {z: "bagmati" for z in ZONES},
            "ListenAddrs": listen,
            "InternalPortRange": [ports["relay"], ports["relay"]],
            "Seeds": [f"{s.ip}:{ports['Control']}" for s in seeds],
            "HeartbeatMs": int(HEARTBEAT * 1000),
            "Hash": "mod",
            "DeployMode": "agent",
            "platform": {"Address": self.store_address, "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20},
        }
        if machine.kind == "side":
            listen["outbound"] = f"{ip}:{ports['outbound']}"
            out["app"] = f"{ip}:{ports['app']}"
            out["Service"] = machine.service
        return out

    def number(self, kind):
        self.numbers[kind] = self.numbers.get(kind, 0) + 1
        return self.numbers[kind]

    def edge(self, zone, seeds=()):
        m = Machine(self, "edge", zone, self.number("edge"), seeds=seeds)
        self.machines.append(m)
        return m

    def side(self, service, zone, seeds):
        m = Machine(self, "side", zone, self.number("side"), service=service, seeds=seeds)
        self.machines.append(m)
        self.sides.append(m)
        return m

    def route(self, number, port=8443):
        return (self.address("route", number), port)

    def config(self, version, routes):
        """\a routes: route -> service."""
        return {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{host}-{port}",
                    "Host": host,
                    "PathPrefix": f"/{port}/",
                    "Type": "non_idempotent",
                    "TimeoutMs": 2000,
                    "AimMs": 120,
                    "Priority": 1,
                    "Service": service,
                    "Attempts": 2,
                }
                for (host, port), service in routes.items()
            ],
            "Services": [
                {"Name": s, "HealthPath": "/health", "MaxConnections": 2000, "Protocol": "h1", "Tls": False}
                for s in sorted(set(routes.values()))
            ],
            "Limits": {"IdleTimeoutMs": 15000},
        }

    def write_config(self, version, routes):
        self.store.put("config", "main", self.config(version, routes))
        self.note(f"config {version} is acknowledged")
        return time.monotonic()

    async def open(self):
        self.choose_ports()
        self.store = Store(self)
        await self.store.open()
        self.router = Router(self)
        self.caller = Caller(self)
        await self.caller.start()
        self.router_task = asyncio.create_task(self.router.run())

    async def deploy_small(self, services, seeds=(0, 1, 2)):
        """4 edge machines in 3 zones, as on the site hgc-transform, and a side
        machine with a target for each of \a services; \a seeds: the positions
        of the edge machines that the settings list as Seeds."""
        for zone in [*ZONES, ZONES[0]]:
            self.edges.append(self.edge(zone))
        listed = [self.edges[i] for i in seeds]
        for m in self.edges:
            m.process.fields = self.fields(m, listed)
            await m.process.start()
        for i, service in enumerate(services):
            m = self.side(service, ZONES[i % len(ZONES)], listed)
            await m.process.start()
            m.target = Target(self, m, service, f"i-{i + 1:08x}")
            await m.target.start()

    async def until_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(self.router.missed.get(n.name, 2) == 0 for n in self.edges):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the balancers are not ready")

    def on_opening(self, target, key):
        self.openings.append((time.monotonic(), target, key))

    def on_open(self, target, key):
        if self.on_flow_open is not None:
            self.on_flow_open(target, key)

    def on_run(self, target, key, ident):
        self.runs.append((time.monotonic(), target, key, ident))

    async def end_processes(self):
        for m in self.machines:
            m.process.signal(signal.SIGCONT)
            m.process.signal(signal.SIGKILL)
            if m.process.child is not None:
                await m.process.child.wait()

    def close(self, verdict):
        with open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines + [verdict]) + "\n")
        if os.environ.get("KEEP"):
            print(self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def run_case(case, file):
    """Runs \a case(world), which returns whether the rule was broken and one
    line that says why; exits with 1 if it was, 0 if it held, 2 without a
    result."""
    world = World(os.path.dirname(os.path.abspath(file)))

    async def go():
        try:
            await world.open()
            return await asyncio.wait_for(case(world), 110)
        finally:
            await world.end_processes()

    code, verdict = 2, "the case couldn't run"
    try:
        broken, verdict = asyncio.run(go())
        if world.damaged:
            verdict += f"; {world.damaged} damaged packets"
        code = 1 if broken else 0
    except Exception as e:  # pylint: disable=broad-except
        verdict = f"the case couldn't run: {type(e).__name__} {e}"
    finally:
        verdict = {0: "HELD", 1: "BROKEN", 2: "NOT RUN"}[code] + ": " + verdict
        world.close(verdict)
    print(verdict)
    sys.exit(code)
