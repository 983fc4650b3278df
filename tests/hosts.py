"""Loopback addresses of what a test process runs itself.

They differ by process, so that no client of one test run calls a port that a stand-in
of another one has got meanwhile.
"""

import os

PROCESS_NETWORK = f"127.{1 + os.getpid() % 250}"
# No daemon and no cluster has an address in this part of the network.
STAND_IN_HOST = f"{PROCESS_NETWORK}.251.1"
