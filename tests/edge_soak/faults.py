"""The faults of a soak: each registered action injects one that its seed has drawn."""

import signal
import time

from hemlockspoke.registry import Registry
from tests.reactor_thread import run_in_reactor

# Each takes the ``Soak``.
actions = Registry("soak action")

SHARDS = 4


@actions.register("kill")
def kill(soak):
    """Kill a daemon; the platform starts it again."""
    vm = soak.pick_vm()
    if vm is not None:
        end = soak.record_fault(vm, "kill")
        soak.world.daemons[vm].kill_and_restart()
        soak.schedule_end(2.0, end)


@actions.register("terminate")
def terminate(soak):
    """Stop a daemon with SIGTERM; it must exit before it has to be killed."""
    soak.stops.start(1)


@actions.register("terminate several")
def terminate_several(soak):
    """Stop two daemons at the same time."""
    soak.stops.start(2)


@actions.register("pause")
def pause(soak):
    """Suspend a daemon with SIGSTOP for a while."""
    vm = soak.pick_vm()
    if vm is None:
        return
    daemon = soak.world.daemons[vm]
    end = soak.record_fault(vm, "pause")
    daemon.suspended = True
    daemon.signal(signal.SIGSTOP)

    def resume():
        daemon.signal(signal.SIGCONT)
        daemon.suspended = False
        end()

    soak.schedule_end(soak.rng.choice([0.3, 1.0, 3.0]), resume)


@actions.register("reload")
def reload(soak):
    """Change the settings file of a daemon, with or without SIGHUP."""
    vm = soak.pick_vm()
    if vm is None:
        return
    daemon = soak.world.daemons[vm]
    text = daemon.settings.read_text()
    daemon.settings.write_text(
        f"{text}\nbounds.retry_slack={soak.rng.choice([50, 90])}"
    )
    if soak.rng.random() < 0.5:
        daemon.signal(signal.SIGHUP)


@actions.register("store-connection")
def store_connection_fault(soak):
    """Disturb the connections of a daemon to the store."""
    vm = soak.pick_vm()
    if vm is None:
        return
    proxy = soak.world.store_proxies[vm]
    mode = soak.rng.choice(["delay", "silence", "drop-to-target", "drop-from-target"])
    lasting = soak.rng.random() < 0.6
    end = soak.record_fault(vm, f"store {mode}")
    run_in_reactor(proxy.set_mode, mode, soak.rng, lasting)

    def end_fault():
        run_in_reactor(proxy.set_mode, "pass", soak.rng)
        end()

    soak.schedule_end(soak.rng.uniform(0.5, 4.0), end_fault)


@actions.register("server-connection")
def server_connection_fault(soak):
    """Disturb the connections of all daemons to a server."""
    server_id = soak.pick_server()
    proxy = soak.world.proxies[server_id]
    interval = [time.monotonic(), time.monotonic()]
    soak.proxy_faults.setdefault(server_id, []).append(interval)
    mode = soak.rng.choice(
        ["delay", "silence", "drop-to-target", "drop-from-target", "reset"]
    )
    if mode == "reset":
        run_in_reactor(proxy.reset, soak.rng, 0.6)
        return
    run_in_reactor(proxy.set_mode, mode, soak.rng, soak.rng.random() < 0.5)
    interval[1] = float("inf")

    def end_fault():
        run_in_reactor(proxy.set_mode, "pass", soak.rng)
        interval[1] = time.monotonic()

    soak.schedule_end(soak.rng.uniform(0.5, 3.0), end_fault)


@actions.register("server")
def server_fault(soak):
    """Make a server answer wrongly or not at all for a while."""
    server = soak.world.servers[soak.pick_server()]
    faults = [
        "shed",
        "hold",
        "hang",
        "reset",
        "fail",
        "truncate",
        "extra",
        "foreign",
        "garbage",
        "cut_head",
        "endless_head",
        "endless_body",
        "copy_with_id",
        "copy_without_id",
        "reset_once",
    ]
    server.behaviour = soak.rng.choice(faults)
    server.retry_after = soak.rng.choice([b"1", b"1.5", b"3"])

    def end_fault():
        server.behaviour = "serve"

    soak.schedule_end(soak.rng.uniform(0.3, 2.5), end_fault)


@actions.register("server-leaves")
def server_leaves(soak):
    """Let a server say that it leaves, and start again some seconds later."""
    duration_s = soak.rng.uniform(2.5, 6.0)
    restart = soak.leaving.start(time.monotonic())
    if restart is not None:
        soak.schedule_end(duration_s, lambda: restart(time.monotonic()))


@actions.register("store")
def store_fault(soak):
    """Make the store fail for all daemons, or discard its history."""
    store = soak.world.store
    mode = soak.rng.choice(["busy", "silent", "reset", "compact"])
    if mode == "compact":
        run_in_reactor(store.compact)
        return
    ends = [soak.record_fault(vm, f"store {mode}") for vm in soak.world.daemons]
    store.mode = mode

    def end_fault():
        store.mode = "up"
        for end in ends:
            end()

    soak.schedule_end(soak.rng.uniform(0.5, 3.0), end_fault)


@actions.register("configure")
def configure(soak):
    """Write a configuration version with a different number of shards."""
    world = soak.world
    world.shards = [f"shard-{n}" for n in range(soak.rng.choice([SHARDS - 1, SHARDS]))]
    world.configure()


@actions.register("drain")
def drain(soak):
    """Drain a server and make it ready again."""
    name = soak.pick_server()
    soak.world.announce(name, "draining")

    def end_drain():
        soak.world.announce(name)

    soak.schedule_end(soak.rng.uniform(1.0, 3.0), end_drain)
