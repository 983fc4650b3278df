"""The world of a run in which the store comes back from an older copy."""

import time

from tests.edge_soak.processes import ProcessWorld
from tests.edge_soak.run import BOUNDS
from tests.platform_world import REGION_BY_DOMAIN

DAEMONS = {"e0": "a1", "e1": "b1", "e2": "a1", "e3": "b1"}
FAR_DOMAINS = ["b2", "b3"]
# Paths that every version serves; the services of the last two are in a far domain.
ALWAYS = ["item", "home", "far-b2", "far-b3"]


class StoreReturnWorld(ProcessWorld):
    """Daemons in two failure domains, and services in two more domains."""

    def __init__(self, code_folder):
        REGION_BY_DOMAIN.update(dict.fromkeys(FAR_DOMAINS, "b"))
        super().__init__(shards=1, code_folder=code_folder)
        # When the operator's and the servers' changes were acknowledged, by name.
        self.acknowledged_s = {}
        for domain in ("a1", "b1"):
            self.add_server(f"more-{domain}", "items", 91, domain)
        for domain in FAR_DOMAINS:
            self.add_server(f"far-{domain}", f"far-{domain}", 92, domain)
        self.configure_paths(["removed"], "b")

    def start_daemons(self):
        """Start the daemons and wait until they are ready."""
        for vm, domain in DAEMONS.items():
            self.add_daemon(vm, domain, bounds=BOUNDS)
        self.wait_ready()

    def configure_paths(self, names, home_region):
        """Write the next version, with routes to the items at further paths."""
        base = self.configuration()
        routes = [
            {**base["routes"][1], "name": name, "path_prefix": f"/{name}/"}
            for name in [*ALWAYS[1:], *names]
        ]
        routes[0]["allowed_regions"] = [home_region]
        for route in routes[1:3]:
            route["service"] = route["name"]
        services = [{**base["services"][0], "name": name} for name in ALWAYS[2:]]
        self.configure(
            routes=base["routes"] + routes, services=base["services"] + services
        )

    def change(self, name, paths, home_region, server_id, domain):
        """Write a version, that a server drains, and an evacuation."""
        self.configure_paths(paths, home_region)
        self.announce(server_id, "draining")
        self.put("evacuations", domain, {})
        self.acknowledged_s[name] = time.monotonic()
