"""Memory of a daemon's state per server, index version and VM."""

from types import SimpleNamespace

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.configuration import Configuration
from hemlockspoke.messages import CatalogUpdate
from hemlockspoke.queries.catalog import Catalog
from hemlockspoke.requests import Share
from tests.bench.slope_fit import SlopeRow, measurements, memory_bytes, points_over
from tests.bench.slope_world import (
    ControlPlane,
    configuration_of,
    document_value,
    share_value,
)
from tests.fakes.holder_side import HolderFixture

SERVERS = (100, 300, 1000)
GROUP_SERVERS = (10, 40, 130)
VERSIONS = (1, 2, 4)
VMS = (650, 1300, 2600)
CATALOG_SERVERS = 1000


def document_configuration(servers):
    """Return a configuration with one document and its server index."""
    configuration = Configuration(ManualClock())
    value = document_value(servers)
    assert configuration.adopt("services/laurentide", 1, value)
    assert configuration.find_server("bins-00-a")
    return configuration


def share_configuration(servers):
    """Return a configuration with one share object."""
    configuration = Configuration(ManualClock())
    configuration.adopt("shares/mtl-0a", 1, share_value(servers))
    return configuration


def catalog(servers, versions=1):
    """Return a catalog with some versions of one part at each server."""
    result = Catalog(ManualClock())
    for number in range(servers):
        indexes = {
            str(version): {"parts_total": servers, "parts": [number]}
            for version in range(versions)
        }
        update = CatalogUpdate(
            server=f"rp-{number:05d}-a",
            incarnation=f"{number:08x}",
            sequence=1,
            available=True,
            indexes={"bins": indexes},
        )
        result.update("vm-a", update)
    return result


def held_servers(servers):
    """Return a holder of that many servers, with fake clients."""
    names = [f"s{number:05d}" for number in range(servers)]
    fixture = HolderFixture(names)
    for name in names:
        fixture.holder.set_share(name, Share(4, 8, 1))
    return SimpleNamespace(fixture=fixture)


def kilobytes(build):
    """Return the memory in KB of the result of ``build``."""
    return memory_bytes(build) / 1024


@measurements.register("memory")
def memory():
    """Measure the memory of each kind of state."""
    document = points_over(
        SERVERS, lambda n: kilobytes(lambda: document_configuration(n))
    )
    share = points_over(
        GROUP_SERVERS, lambda n: kilobytes(lambda: share_configuration(n))
    )
    servers = points_over(SERVERS, lambda n: kilobytes(lambda: catalog(n)))
    held = points_over(SERVERS, lambda n: kilobytes(lambda: held_servers(n)))
    versions = points_over(
        VERSIONS, lambda n: kilobytes(lambda: catalog(CATALOG_SERVERS, n))
    )
    registrations = points_over(VMS, lambda n: kilobytes(lambda: configuration_of(n)))
    members = points_over(VMS, lambda n: kilobytes(lambda: ControlPlane(n)))
    return [
        SlopeRow("memory: document", "KB", "server", document),
        SlopeRow("memory: share object", "KB", "server", share),
        SlopeRow("memory: catalog, one holder", "KB", "server", servers),
        SlopeRow("memory: catalog of 1,000 servers", "KB", "index version", versions),
        SlopeRow("memory: held server, fake client", "KB", "server", held),
        SlopeRow("memory: registrations", "KB", "VM", registrations),
        SlopeRow("memory: registrations, members, shares", "KB", "VM", members),
    ]
