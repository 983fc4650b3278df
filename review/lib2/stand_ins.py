"""Stand-ins for the platform's store, servers and clients, and real daemons.

The daemons are started with the command of the deploy file. Everything listens on
loopback addresses. Only the standard library is used.
"""

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
# Each daemon listens on the same metrics port, so each has a host of its own, and cases
# that run beside each other have different networks.
NETWORK = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}"
STORE_HOST = f"{NETWORK}.201"
SERVER_HOST = f"{NETWORK}.202"
STORE_PAGE_ITEMS = 50
# How often a watch looks for changes.
WATCH_STEP_S = 0.01
READY_TIMEOUT_S = 30.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_ms(self):
        return 1000.0 * (time.monotonic() - self._started_s)

    def write(self, text):
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now_ms():9.1f} {text}\n")


def free_ports(host, count):
    """Return different ports of a host that are not in use."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


async def read_message(reader):
    """Return the first line, the headers in lower case and the body of a message.

    Returns None at the end of the connection.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode(first_line, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def compact(value):
    """Return a value as JSON without spaces."""
    return json.dumps(value, separators=(",", ":"))


class Item(dict):
    """An object of the store, with its JSON text, which is made once."""

    def __init__(self, value):
        super().__init__(value)
        self.text = compact(value)


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    It refuses a value of over ``VALUE_BYTES``, and forgets changes after ``HISTORY_S``.
    Calls from a host in ``turned_away`` get 503.
    """

    VALUE_BYTES = 1_048_576
    HISTORY_S = 20.0

    def __init__(self):
        self.address = None
        self._kinds = {}
        self.turned_away = set()
        # Changes with their revisions and times, and the newest one that is forgotten.
        self._events = []
        self._forgotten = 0
        self._revision = 100
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, STORE_HOST, 0, limit=1 << 22
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def put(self, kind, name, spec, top=()):
        """Write an object; ``top`` has fields beside its spec."""
        self._revision += 1
        meta = {"name": name, "revision": self._revision, "created": 1}
        meta.update(finalizers=[], deleting=False)
        item = Item({"meta": meta, "spec": spec, "status": None, **dict(top)})
        if len(item.text) > self.VALUE_BYTES:
            raise ValueError("the value is too long")
        self._kinds.setdefault(kind, {})[name] = item
        self._note(kind, item, False)
        return item

    async def remove(self, kind, name):
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            meta = {**item["meta"], "revision": self._revision}
            self._note(kind, Item({**item, "meta": meta}), True)

    def _note(self, kind, item, removed):
        event = f'{{"object":{item.text},"removed":{str(removed).lower()}}}'
        now_s = time.monotonic()
        self._events.append((self._revision, kind, event, now_s))
        while now_s - self._events[0][3] > self.HISTORY_S:
            self._forgotten = self._events.pop(0)[0]

    async def _serve(self, reader, writer):
        # The loop cancels it at the end of the case.
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                host = writer.get_extra_info("peername")[0]
                status, body = 503, {}
                if host not in self.turned_away:
                    status, body = await self._handle(*message)
                data = body if isinstance(body, bytes) else compact(body).encode()
                head = [("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} X", head, data))
                await writer.drain()
        writer.close()

    async def _handle(self, first_line, headers, body):
        method, target, _ = first_line.split(" ")
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = [unquote(name) for name in parts.path.split("/")[3:]]
        objects = self._kinds.setdefault(names[0], {})
        if method == "GET" and len(names) == 1:
            if "watch" in query:
                return await self._watch(names[0], query)
            return 200, self._list(objects, query.get("after", ""))
        if method == "GET":
            found = objects.get(names[1])
            return (200, found) if found else (404, {})
        value = json.loads(body or b"{}")
        meta = value.get("meta", {})
        name = names[1] if len(names) > 1 else meta.get("name")
        found = objects.get(name)
        if method == "POST":
            if found is not None:
                return 409, found
            return 201, await self.put(names[0], name, value.get("spec"))
        if found is None:
            return 404, {}
        if meta.get("revision") not in (None, found["meta"]["revision"]):
            return 409, found
        if method == "PUT" and len(names) == 2:
            return 200, await self.put(names[0], name, value.get("spec"))
        return 405, {}

    def _list(self, objects, after):
        names = sorted(name for name in objects if name > after)
        page = names[:STORE_PAGE_ITEMS]
        items = ",".join(objects[name].text for name in page)
        more = str(len(names) > len(page)).lower()
        return (
            f'{{"items":[{items}],"more":{more},"current_rev":{self._revision}}}'
        ).encode()

    async def _watch(self, kind, query):
        since, wait_s = int(query["watch"]), int(query.get("wait_ms", 0)) / 1000.0

        def events():
            return [
                event
                for revision, event_kind, event, _ in self._events
                if revision > since and event_kind == kind
            ]

        if since < self._forgotten:
            return 410, {}
        end_s = time.monotonic() + wait_s
        while not events() and time.monotonic() < end_s:
            await asyncio.sleep(WATCH_STEP_S)
        text = ",".join(events())
        return 200, f'{{"events":[{text}],"current_rev":{self._revision}}}'.encode()


class Server:
    """One server of a service, as the pages describe a sound one.

    It works on ``slots`` requests at once, queues ``queue`` more and rejects others.
    ``answer(server, headers, writer)`` may replace its answer: it returns False to
    answer as a sound server does. ``runs`` lists the attempt ids that it has run.
    """

    def __init__(self, server_id, service, zone, record, **options):
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = options.get("slots", 2)
        self.queue = options.get("queue", 8)
        self.work_ms = options.get("work_ms", 10.0)
        self.max_connections = options.get("max_connections", 40)
        self.body = options.get("body", b"r" * 16)
        self.answer = options.get("answer")
        # Has ``refused(server, writer, data)`` and ``next_request(server, attempt,
        # writer)``, which may send a copy of a refusal.
        self.repeater = options.get("repeater")
        # Whether refusals name the request, as other answers do.
        self.names_refused = options.get("names_refused", False)
        self.records_runs = options.get("records_runs", True)
        self.born = int(time.time() * 1000)
        self.runs = []
        self.waiting = 0
        self.connections = 0
        self.address = None
        self._free = asyncio.Semaphore(self.slots)

    async def start(self, store):
        """Listen, and write the entry to the store."""
        server = await asyncio.start_server(self._serve, SERVER_HOST, 0, limit=1 << 20)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        await store.put("servers", self.server_id, self.entry())

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        if self.connections >= self.max_connections:
            writer.transport.abort()
            return
        self.connections += 1
        try:
            while message := await read_message(reader):
                await self._handle(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def _handle(self, message, writer):
        first_line, headers, _ = message
        own = [("X-Hemlockspoke-Instance-Id", self.server_id)]
        attempt = headers.get("x-hemlockspoke-attempt-id", "")
        echo = [("X-Hemlockspoke-Attempt-Id", attempt)]
        not_run = [("X-Hemlockspoke-Not-Executed", "1")]
        if self.names_refused:
            not_run += echo
        expected = headers.get("x-hemlockspoke-expect-instance")
        if first_line.startswith("GET /health"):
            writer.write(encode("HTTP/1.1 200 OK", own))
            return
        if expected not in (None, self.server_id):
            writer.write(encode("HTTP/1.1 421 Misdirected Request", own))
            return
        if self.repeater is not None:
            self.repeater.next_request(self, attempt, writer)
        if self._free.locked() and self.waiting >= self.queue:
            data = encode("HTTP/1.1 503 Service Unavailable", not_run)
            writer.write(data)
            if self.repeater is not None:
                self.repeater.refused(self, writer, data)
            return
        self.waiting += 1
        await self._free.acquire()
        self.waiting -= 1
        try:
            self.runs.append(attempt)
            if self.records_runs:
                self.record.write(f"run     {attempt} at {self.server_id}")
            if self.answer is not None and await self.answer(self, headers, writer):
                return
            await asyncio.sleep(self.work_ms / 1000.0)
        finally:
            self._free.release()
        stamp = f"{self.server_id}.{attempt}.{len(self.runs)}"
        head = [("X-Hemlockspoke-Server-Stamp", stamp), *echo]
        writer.write(encode("HTTP/1.1 200 OK", head, self.body))


class Daemon:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, number, zone, regions, store, limits, bounds, folder):
        self.name = name
        self.host = f"{NETWORK}.{number}"
        self.ports = free_ports(self.host, 4)
        frontend, ready, control, peer = self.ports
        lines = {
            "node_name": name,
            "role": "edge",
            "node_class": "edge",
            "serves": "edge",
            "ip": self.host,
            "zone": zone,
            "region": regions[zone],
            **{f"zones.{other}": region for other, region in regions.items()},
            "listen_addrs.frontend": f"{self.host}:{frontend}",
            "listen_addrs.ready": f"{self.host}:{ready}",
            "listen_addrs.control_plane": f"{self.host}:{control}",
            "internal_ports": f"{peer},{peer}",
            "bootstrap": "true",
            **{f"limits.{key}": value for key, value in limits.items()},
            **{f"bounds.{key}": value for key, value in bounds.items()},
            "platform.address": store.address,
            "platform.form": "objects",
        }
        self._settings = folder / f"{name}.conf"
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self._settings.write_text(text, encoding="utf-8")
        self._log = folder / f"{name}.log"
        self.process = None

    def set_restarted(self):
        """Have the next process know that the system has started before."""
        text = self._settings.read_text(encoding="utf-8")
        text = text.replace("bootstrap=true", "bootstrap=false")
        self._settings.write_text(text, encoding="utf-8")

    async def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["edge"]
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["HEMLOCKSPOKE_SETTINGS"] = str(self._settings)
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def memory_mb(self, field="VmRSS"):
        """Return the memory of the process, or its peak with ``VmHWM``."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(rf"{field}:\s+(\d+) kB", text)
        return int(found[1]) / 1024.0 if found else 0.0

    async def is_ready(self):
        request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
            writer.write(request.encode())
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return message is not None and " 200 " in message[0]

    async def wait_ready(self):
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end_s or not self.is_running():
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Supervisor:
    """Kills a process that exceeds its memory and restarts it, as the platform does.

    ``ends`` counts how often the process has ended by itself, or for its memory.
    """

    CHECK_S = 0.05
    RESTART_S = 0.5

    def __init__(self, daemon, record, limits):
        self.daemon = daemon
        self.ends = 0
        self._record = record
        self._memory_mb = limits["memory_mb"]

    async def run(self):
        daemon = self.daemon
        while True:
            memory_mb = daemon.memory_mb()
            if memory_mb > self._memory_mb or not daemon.is_running():
                code = daemon.process.returncode
                self.ends += 1
                self._record.write(
                    f"end     {self.ends} of {daemon.name}: {memory_mb:.0f} MB, {code}"
                )
                await daemon.kill()
                await asyncio.sleep(self.RESTART_S)
                daemon.set_restarted()
                await daemon.start()
                await daemon.wait_ready()
                self._record.write(f"ready   {daemon.name}")
            await asyncio.sleep(self.CHECK_S)


async def show_memory(daemons, record):
    """Record the memory of all processes each second."""
    while True:
        sizes = ", ".join(f"{one.name} {one.memory_mb():.0f} MB" for one in daemons)
        record.write(f"memory  {sizes}")
        await asyncio.sleep(1.0)


async def wait_for_ends(supervisors, daemons, ends, seconds):
    """Wait until so many daemons have ended so often by themselves, or for a time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        if sum(one.ends >= ends for one in supervisors) >= daemons:
            return
        await asyncio.sleep(Supervisor.CHECK_S)


class Reply:
    """The status, headers and body that a client got; status None without an answer."""

    def __init__(self, status, headers=(), body=b""):
        self.status = status
        self.headers = dict(headers)
        self.body = body


async def request(daemon, target, attempt, host, budget_ms, **options):
    """Send a request as a client does on a new connection; return its ``Reply``."""
    method, body = options.get("method", "GET"), options.get("body", b"")
    head = [
        ("Host", host),
        ("X-Hemlockspoke-Attempt-Id", attempt),
        ("X-Hemlockspoke-Deadline-Ms", budget_ms),
        *options.get("extra", ()),
    ]
    data = encode(f"{method} {target} HTTP/1.1", head, body)
    # Header lines that are sent as they are.
    data = data.replace(b"\r\n\r\n", b"\r\n" + options.get("lines", b"") + b"\r\n", 1)
    writer = None
    try:
        async with asyncio.timeout(budget_ms / 1000.0):
            reader, writer = await asyncio.open_connection(daemon.host, daemon.ports[0])
            writer.write(data)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return Reply(None)
    return Reply(int(message[0].split(" ")[1]), message[1], message[2])


class World:
    """A store, servers and daemons of one case; everything ends with it."""

    def __init__(self, record, regions, limits, bounds):
        self.record = record
        self.regions = regions
        self.limits = limits
        self.bounds = bounds
        self.store = Store()
        self.servers = []
        self.daemons = []
        self._folder = Path(tempfile.mkdtemp(prefix="hemlockspoke-review-"))

    async def start(self):
        await self.store.start()

    async def add_server(self, server_id, service, zone, **options):
        server = Server(server_id, service, zone, self.record, **options)
        self.servers.append(server)
        await server.start(self.store)
        return server

    async def add_daemons(self, *names_and_zones):
        for name, zone in names_and_zones:
            daemon = Daemon(
                name,
                len(self.daemons) + 1,
                zone,
                self.regions,
                self.store,
                self.limits,
                self.bounds,
                self._folder,
            )
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        if folder := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, folder, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def run_case(folder, play):
    """Run ``play(record, trouble)`` and exit with its verdict, or 2 after an error."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case    {Path(folder).name}, trouble {int(trouble)}")
    verdict = NOT_RUN
    try:
        verdict = asyncio.run(asyncio.wait_for(play(record, trouble), 115.0))
    except Exception as error:
        record.write(f"failed  the case could not run: {error!r}")
        print(f"could not run: {error!r}")
    record.write(f"verdict {verdict}")
    raise SystemExit(verdict)
