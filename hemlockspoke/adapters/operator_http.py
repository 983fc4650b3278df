"""HTTP interface for operators: health, readiness, state and configuration."""

import json

from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from hemlockspoke.registry import Registry

views = Registry("operator view")


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
    return Site(root)
