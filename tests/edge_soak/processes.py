"""The platform's daemons as processes that reach the stand-ins through proxies."""

import shutil
import signal
import subprocess
import tempfile
import time
from pathlib import Path

from twisted.internet import reactor

from tests.deploy_file import ROOT, run_command, run_environment
from tests.edge_soak.proxy import LoopbackProxy
from tests.platform_world import PlatformWorld
from tests.reactor_thread import run_in_reactor

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
# The platform restarts a process that has exited after a short delay.
RESTART_DELAY_S = 0.3
STOP_GRACE_S = 4.0


class DaemonProcess:
    """One daemon: its settings file, its process and its log."""

    def __init__(self, vm, folder, settings_text, code_folder=ROOT):
        self.vm = vm
        self._code_folder = code_folder
        self.settings = folder / f"{vm}.conf"
        self.settings.write_text(settings_text)
        self.log = folder / f"{vm}.log"
        self.process = None
        # Set while SIGSTOP suspends the process; no other daemon fault picks it then.
        self.suspended = False

    def start(self):
        """Start the process with its output appended to the log file."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run_command(self._code_folder),
                env=run_environment(self.settings),
                cwd=self._code_folder,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill_and_restart(self):
        """Kill the process and start it again as the platform does."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_S)
        time.sleep(RESTART_DELAY_S)
        self.start()

    def terminate_and_restart(self, grace_s=STOP_GRACE_S):
        """Stop the process with SIGTERM and start it again; return the exit code."""
        self.signal(signal.SIGTERM)
        try:
            code = self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            code = self.process.wait(STOP_TIMEOUT_S)
        time.sleep(RESTART_DELAY_S)
        self.start()
        return code

    def stop(self):
        """Kill the process without starting it again."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait(STOP_TIMEOUT_S)


class Writing:
    """What the operator or a server wrote at a time; ``spec`` is None for a removal."""

    __slots__ = ("at_s", "kind", "name", "spec")

    def __init__(self, at_s, kind, name, spec):
        self.at_s = at_s
        self.kind = kind
        self.name = name
        self.spec = spec


class ProcessWorld(PlatformWorld):
    """A platform whose daemons are processes connected through proxies.

    Each daemon has its own proxy to the store; all share one proxy per server. The
    daemons run the code of ``code_folder`` if one is given. Callers use ``key`` if it
    has accounts.
    """

    def __init__(self, code_folder=None, **options):
        self._code_folder = Path(code_folder or ROOT).resolve()
        self.proxies = {}
        self.store_proxies = {}
        self.domains = {}
        self.key = None
        self._retired = set()
        # All that the operator and the servers wrote, in order, and the times at which
        # the store came back from a copy.
        self.writings = []
        self.returns = []
        self._folder = tempfile.TemporaryDirectory(prefix="hemlockspoke-soak-")
        self.folder = Path(self._folder.name)
        super().__init__(**options)

    def add_server(self, server_id, service, shard, domain, announce=True):
        """Start a server behind a proxy and write its entry to the store."""
        super().add_server(server_id, service, shard, domain, announce=False)
        server = self.servers[server_id]
        proxy = run_in_reactor(LoopbackProxy, reactor, self.clock, server.address)
        self.proxies[server_id] = proxy
        if announce:
            self.announce(server_id)

    def put(self, kind, name, spec):
        """Write an object of the store and remember it."""
        run_in_reactor(self._write, kind, name, spec)

    def _write(self, kind, name, spec):
        self.writings.append(Writing(time.monotonic(), kind, name, spec))
        if spec is None:
            self.store.remove(kind, name)
        else:
            self.store.put(kind, name, spec)

    def _latest(self):
        return {(writing.kind, writing.name): writing for writing in self.writings}

    def lost(self):
        """Return kinds and names of which the store lacks the newest state."""
        return [
            key
            for key, writing in self._latest().items()
            if self.store.get(*key) != writing.spec
        ]

    def write_lost(self, kind=None):
        """Write again what the store lacks; call it in the reactor's thread."""
        latest = self._latest()
        for key in self.lost():
            if kind in (None, key[0]):
                self._write(*key, latest[key].spec)

    def write_entry_again(self, server_id):
        """Write what a server last announced; call it in the reactor's thread."""
        writing = self._latest().get(("servers", server_id))
        if writing is not None:
            self._write("servers", server_id, writing.spec)

    def announce(self, server_id, state="ready"):
        """Write the entry of a server, with the address of its proxy."""
        if server_id in self._retired:
            return
        address = self.proxies[server_id].address
        entry = self.servers[server_id].entry(state, address=address)
        self.put("servers", server_id, entry)

    def retire(self, server_id):
        """Remove the entry of a server for good; call it in the reactor's thread.

        The server goes on to record requests, so that late ones are seen.
        """
        self._retired.add(server_id)
        self._write("servers", server_id, None)

    def rejoin(self, server_id):
        """Let a retired server announce itself again."""
        self._retired.discard(server_id)

    def add_daemon(self, vm, domain="a1", first_start=True, bounds=None):
        """Start a daemon that reaches the store through a proxy."""
        proxy = run_in_reactor(LoopbackProxy, reactor, self.clock, self.store.address)
        self.store_proxies[vm] = proxy
        bounds = {"grace_s": STOP_GRACE_S, **(bounds or {})}
        text, host, ports = self.settings_text(
            vm, domain, first_start, bounds, proxy.address
        )
        daemon = DaemonProcess(vm, self.folder, text, self._code_folder)
        self.daemons[vm] = daemon
        self.domains[vm] = domain
        self.addresses[vm] = host, ports
        daemon.start()
        return daemon

    def wait_ready(self, *vms):
        """Wait until the given daemons, or all, report that they are ready."""
        for vm in vms or self.daemons:
            end = time.monotonic() + READY_TIMEOUT_S
            while self.ready_status(vm) != 200:
                assert time.monotonic() < end, f"{vm} is not ready"
                time.sleep(0.05)

    def keep_logs(self, folder):
        """Copy the daemons' logs and settings to a folder."""
        shutil.copytree(self.folder, folder, dirs_exist_ok=True)

    def stop(self):
        """Kill the daemons, close the proxies and the stand-ins and delete the logs."""
        for daemon in self.daemons.values():
            daemon.stop()
        self.daemons.clear()
        for proxy in [*self.proxies.values(), *self.store_proxies.values()]:
            run_in_reactor(proxy.stop)
        super().stop()
        self._folder.cleanup()
