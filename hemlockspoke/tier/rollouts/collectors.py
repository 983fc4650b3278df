"""Which daemons collect the evidence on an order, the same for all daemons."""

from hemlockspoke.rendezvous import rank

# In three failure domains, so that one can go out while another daemon is restarted.
COLLECTORS = 3


def collectors(limit_shares, service):
    """Return the VMs of the daemons that collect for a service, by rank.

    Each is a hub of another failure domain as long as there are enough domains.
    ``limit_shares`` has the failure domains and their hubs.
    """
    key = f"rollout {service}"
    firsts, others = [], []
    for domain in rank(key, limit_shares.domains()):
        hubs = rank(key, limit_shares.hubs(domain))
        firsts += hubs[:1]
        others += hubs[1:]
    return (firsts + others)[:COLLECTORS]
