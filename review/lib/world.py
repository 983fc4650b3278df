"""A small deployment on loopback addresses: daemons as processes, store, clients."""

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from review.lib.http import encode, read_message
from review.lib.proxy import Proxy
from review.lib.store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "pages.example"
READY_TIMEOUT_S = 20
LONGEST_RUN_S = 115
EXIT_NOT_RUN = 2
# The run line of deploy/system.toml.
COMMAND = ["python3", "-m", "hemlockspoke.platform.edge"]


# All daemons of this run, which end with it.
started_daemons = []


class Record:
    """Writes ``record.txt`` of a case with times since its start in ms."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._start_s = time.monotonic()

    def now_ms(self):
        """Return the time since the start."""
        return (time.monotonic() - self._start_s) * 1000

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now_ms():9.0f} {text}\n")
        self._file.flush()


class Daemon:
    """One process of the project, started as the deploy file says."""

    def __init__(self, world, name, zone, host, ports, settings_path):
        self.world = world
        self.name = name
        self.zone = zone
        self.host = host
        self.ports = ports
        self.settings_path = settings_path
        self.process = None
        started_daemons.append(self)

    def start(self):
        """Start the process; its output goes to a file in the temporary folder."""
        environment = {
            "HEMLOCKSPOKE_SETTINGS": str(self.settings_path),
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
        }
        log_path = self.settings_path.with_suffix(".log")
        with log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, env=environment, cwd=REPOSITORY, stdout=log, stderr=log
            )
        self.world.record.write(f"daemon {self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record.write(f"daemon {self.name} gets signal {number}")
        self.process.send_signal(number)

    def log(self):
        """Return the output so far."""
        return self.settings_path.with_suffix(".log").read_text(errors="replace")

    def stop(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class World:
    """The store, the servers, the daemons and the record of one case."""

    def __init__(self, record, zones, bounds):
        self.record = record
        self.store = Store()
        self.zones = zones
        self.bounds = bounds
        self.servers = {}
        self.daemons = {}
        self._network = 1 + os.getpid() % 250
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    async def __aenter__(self):
        await self.store.start(f"127.{self._network}.0.1")
        return self

    async def __aexit__(self, *_):
        for daemon in self.daemons.values():
            daemon.stop()
        self._folder.cleanup()

    async def add_proxy(self):
        """Start a proxy to the store."""
        proxy = Proxy(self.store.address)
        await proxy.start(f"127.{self._network}.0.3")
        return proxy

    async def add_server(self, server):
        """Start a server and let it register itself."""
        await server.start(f"127.{self._network}.0.2")
        self.servers[server.server_id] = server
        await self.announce(server)

    async def announce(self, server, state="ready", **changes):
        """Write the entry of a server; the return is the store's ack."""
        await self.store.put(
            "servers", server.server_id, server.entry(state, **changes)
        )
        self.record.write(f"store acks {server.server_id} as {state}")

    def add_daemon(self, name, zone, store_address=None, first_start=True):
        """Start a daemon with a settings file as in DEPLOY.md."""
        host = f"127.{self._network}.1.{len(self.daemons) + 1}"
        ports = dict(
            zip(("frontend", "ready", "internal"), free_ports(host, 3), strict=True)
        )
        path = Path(self._folder.name) / f"{name}.conf"
        zone_lines = [f"zones.{zone}={region}" for zone, region in self.zones.items()]
        bound_lines = [f"bounds.{key}={value}" for key, value in self.bounds.items()]
        lines = [
            f"node_name={name}",
            "role=edge",
            "node_class=edge",
            "serves=edge",
            f"ip={host}",
            f"zone={zone}",
            f"region={self.zones[zone]}",
            *zone_lines,
            f"listen_addrs.frontend={host}:{ports['frontend']}",
            f"listen_addrs.ready={host}:{ports['ready']}",
            f"internal_ports={ports['internal']},{ports['internal']}",
            f"bootstrap={'true' if first_start else 'false'}",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1200",
            *bound_lines,
            f"platform.address={store_address or self.store.address}",
            "platform.form=objects",
            "platform.value_bytes=1048576",
        ]
        path.write_text("\n".join(lines) + "\n")
        daemon = Daemon(self, name, zone, host, ports, path)
        self.daemons[name] = daemon
        daemon.start()
        return daemon

    async def wait_ready(self):
        """Wait until all daemons report that they are ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for daemon in self.daemons.values():
            while await self.ready_status(daemon) != 200:
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.1)

    async def ready_status(self, daemon):
        """Return the status of the platform's ready call, None without an answer."""
        try:
            connection = await asyncio.open_connection(
                daemon.host, daemon.ports["ready"]
            )
        except OSError:
            return None
        reader, writer = connection
        writer.write(encode("GET /api/ready HTTP/1.1", [("Host", daemon.host)]))
        reply = await read_message(reader)
        writer.close()
        return None if reply is None else reply.status

    async def request(
        self, daemon, method, path, attempt, deadline_ms, body=b"", headers=()
    ):
        """Send a client's request on a new connection.

        Return the answer, or None if the connection ended or the deadline passed.
        """
        self.record.write(f"client sends {attempt}: {method} {path} to {daemon.name}")
        try:
            answer = await asyncio.wait_for(
                self._exchange(
                    daemon, method, path, attempt, deadline_ms, body, headers
                ),
                deadline_ms / 1000,
            )
        except (OSError, TimeoutError) as error:
            self.record.write(f"client of {attempt}: {type(error).__name__}")
            return None
        status = "connection closed" if answer is None else answer.status
        self.record.write(f"client of {attempt} gets {status}")
        return answer

    async def _exchange(
        self, daemon, method, path, attempt, deadline_ms, body, headers
    ):
        reader, writer = await asyncio.open_connection(
            daemon.host, daemon.ports["frontend"]
        )
        fields = [
            ("Host", HOST),
            ("X-Hemlockspoke-Attempt-Id", attempt),
            ("X-Hemlockspoke-Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            return await read_message(reader)
        finally:
            with contextlib.suppress(OSError):
                writer.close()


def free_ports(host, count):
    """Return distinct ports of a host that are not in use."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind((host, 0))
        return [item.getsockname()[1] for item in sockets]


def route(name, kind, **fields):
    """Return a route of the configuration; its path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "priority": 1,
        "allowed_regions": [],
        **fields,
    }


def configuration(version, routes, max_connections):
    """Return a configuration; ``max_connections`` maps each service to its limit."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": limit}
            for name, limit in max_connections.items()
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        },
    }


def main(case, folder):
    """Run a case; it returns True if the rule held. Exit with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    guard = threading.Timer(LONGEST_RUN_S, finish, (EXIT_NOT_RUN, "took too long"))
    guard.daemon = True
    guard.start()
    asyncio.run(run(case, folder, trouble))


async def run(case, folder, trouble):
    """Run a case and end the process with its result."""
    try:
        held = await case(folder, trouble)
    except Exception as error:
        finish(EXIT_NOT_RUN, f"could not run: {type(error).__name__}: {error}")
    finish(0 if held else 1, "the rule held" if held else "the rule was broken")


def finish(status, text):
    """Kill the daemons that still run, and exit at once."""
    for daemon in started_daemons:
        daemon.stop()
    print(text, flush=True)
    os._exit(status)
