"""HTTP interface for operators: health, readiness, state and configuration."""

import io
import json

from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from hemlockspoke.adapters.bounded_http import BoundedChannel
from hemlockspoke.registry import Registry

views = Registry("operator view")

# No request of operators needs a body.
MAX_BODY_BYTES = 65536
# Health checks, the command line and scrapers use a few.
MAX_CONNECTIONS = 64
BODY_TOO_LARGE = (
    b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class OperatorRequest(Request):
    """Request that keeps a short body in memory, and nothing on disk."""

    refused = False

    def gotLength(self, length):
        """Buffer the body in memory; the base class writes a long one to a file."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data):
        """Append a chunk of the body, or refuse a body over the size limit."""
        if self.refused:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.refused = True
            self.content = io.BytesIO()
            self.channel.refuse_body()
        else:
            super().handleContentChunk(data)


class OperatorChannel(BoundedChannel):
    """Connection of an operator."""

    def connectionMade(self):
        """Register the connection with the site."""
        super().connectionMade()
        self.factory.opened(self)

    def dataReceived(self, data):
        """Receive bytes unless the connection is being closed."""
        if not self.transport.disconnecting:
            super().dataReceived(data)

    def refuse_body(self):
        """Refuse a body that is too long, and close the connection."""
        self.transport.write(BODY_TOO_LARGE)
        self.loseConnection()

    def connectionLost(self, reason):
        """Remove the connection."""
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)


class OperatorSite(Site):
    """Factory of operators' connections; of too many, the oldest is closed.

    The new one is kept, as a health check that is refused would take the VM out of
    service.
    """

    protocol = OperatorChannel

    def __init__(self, root):
        super().__init__(root, requestFactory=OperatorRequest)
        # Connections, oldest first.
        self.channels = {}

    def opened(self, channel):
        """Add a new connection; close the oldest, if possible one without a request."""
        others = list(self.channels)
        self.channels[channel] = None
        if len(self.channels) > MAX_CONNECTIONS:
            oldest = next((other for other in others if not other.requests), others[0])
            del self.channels[oldest]
            oldest.transport.abortConnection()


class JsonView(Resource):
    """A resource that responds to GET with a JSON object.

    ``view(node)`` returns the status and the object; ``node`` is a ``Node``.
    """

    isLeaf = True

    def __init__(self, node, view):
        super().__init__()
        self._node = node
        self._view = view

    def render_GET(self, request):
        """Return the view's status and JSON body."""
        status, body = self._view(self._node)
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        return json.dumps(body).encode()


class AnnounceResource(Resource):
    """Makes the daemon read the store at once, after an operator has changed it."""

    isLeaf = True

    def __init__(self, node):
        super().__init__()
        self._node = node

    def render_POST(self, request):
        """Respond once the store has been read."""
        request.content.read()
        announcing = ensureDeferred(self._announce(request))
        request.notifyFinish().addErrback(lambda _: announcing.cancel())
        announcing.addErrback(lambda _: None)
        return NOT_DONE_YET

    async def _announce(self, request):
        await self._node.sync.check_store()
        request.setHeader("Content-Type", "application/json")
        request.write(json.dumps(configuration_view(self._node)[1]).encode())
        request.finish()


@views.register("health")
def health_view(node):
    """Report that the process runs."""
    return 200, {"status": "ok", "vm": node.settings.vm}


@views.register("ready")
def ready_view(node):
    """Report whether the daemon is ready, with the reasons if it is not."""
    reasons = node.not_ready_reasons()
    return (503 if reasons else 200), {"ready": not reasons, "reasons": reasons}


@views.register("configuration")
def configuration_view(node):
    """Report the objects in force with versions and ages, and rejected versions."""
    configuration = node.configuration
    rejected = {
        key: [finding.to_json() for finding in findings]
        for key, findings in configuration.rejected().items()
    }
    fleet = configuration.fleet()
    return 200, {
        "vm": node.settings.vm,
        "objects": node.object_ages(),
        "digest": configuration.digest(),
        "store_contact_age_ms": node.sync.store_contact_age_ms(),
        "rejected": rejected,
        "failure_domains_out": sorted(fleet.failure_domains_out),
        "vms_out": sorted(fleet.vms_out),
    }


@views.register("state")
def state_view(node):
    """Return the state that operators need to diagnose a daemon."""
    shares = node.share_manager.effective_shares()
    members = [
        {
            "vm": member.vm,
            "incarnation": member.incarnation,
            "failure_domain": member.failure_domain,
            "state": member.state,
        }
        for member in node.membership.members()
    ]
    return 200, {
        "vm": node.settings.vm,
        "region": node.settings.region,
        "failure_domain": node.settings.failure_domain,
        "incarnation": node.registration.incarnation,
        "ready": not node.not_ready_reasons(),
        "store_contact_age_ms": node.sync.store_contact_age_ms(),
        "reasons": node.not_ready_reasons(),
        "in_flight": node.in_flight(),
        "peers": sorted(node.peers.connected()),
        "members": members,
        "shares": {name: list(share.amounts()) for name, share in shares.items()},
        "servers": node.holder.server_states(),
        "violations": dict(node.invariants.violations),
    }


def operator_site(node):
    """Return the HTTP site of the operator interface of a ``Node``."""
    root = Resource()
    v1 = Resource()
    root.putChild(b"v1", v1)
    for name in views.names():
        v1.putChild(name.encode(), JsonView(node, views.get(name)))
    v1.putChild(b"announce", AnnounceResource(node))
    return OperatorSite(root)
