"""Loopback addresses of what a test process runs itself.

They differ by process, so that no client of one test run calls a port that a stand-in
of another one has got meanwhile.
"""

import os
import socket

NETWORK_COUNT = 250
# A process that uses a network keeps this port of its last address bound.
CLAIM_HOST_SUFFIX = "255.1"
CLAIM_PORT = 9464


def claim_network():
    """Return a network that no other test process uses, and the socket that claims it.

    The search begins at a number that differs between most processes.
    """
    for offset in range(NETWORK_COUNT):
        network = f"127.{1 + (os.getpid() + offset) % NETWORK_COUNT}"
        claim = socket.socket()
        try:
            claim.bind((f"{network}.{CLAIM_HOST_SUFFIX}", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
    raise RuntimeError("all loopback networks for tests are in use")


PROCESS_NETWORK, _claim = claim_network()
# No daemon and no cluster has an address in this part of the network.
STAND_IN_HOST = f"{PROCESS_NETWORK}.251.1"
