"""The VMs of the system and the peers that a daemon chooses."""
