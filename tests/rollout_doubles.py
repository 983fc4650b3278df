"""What managers of simulated rollouts use instead of streams, peers and requests."""


class Network:
    """Messages of one daemon, delivered by the world."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    def connected(self):
        world = self._world
        return [
            vm for vm in world.managers if vm != self._vm and world.linked(self._vm, vm)
        ]

    def send(self, vm, message):
        world = self._world
        if vm in world.managers and world.linked(self._vm, vm):
            delay_ms = world.rng.uniform(1.0, 40.0)
            world.messages += 1
            world.clock.call_later(delay_ms, world.deliver, self._vm, vm, message)
        return True


class Peers:
    """The registered daemons, which are all connected."""

    def __init__(self, world):
        self._world = world

    def knows(self, vm):
        return vm in self._world.vms

    def set_collectors(self, vms):
        """Accept the list: all daemons are connected in this world."""


class Attempt:
    """An attempt at a request."""

    def __init__(self, server, route_name, now_ms):
        self.server = server
        self.route_name = route_name
        self.started_ms = now_ms
        self.is_extra = False


class Route:
    """A route whose requests can be sampled."""

    idempotent = True
    max_servers = 2
