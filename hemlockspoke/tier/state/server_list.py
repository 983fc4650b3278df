"""The server entries of the store, and what is known better than an older list."""

import logging

from hemlockspoke.tier.placement.servers import ServerState

logger = logging.getLogger(__name__)

# Time for which a daemon does not use entries of the first list of a new era that it
# knows to be outdated. Servers write again within a liveness interval, and the store
# removes entries that are not written for three of them; both end well before.
OUTDATED_MS = 10_000.0
# A removed process is remembered for this time. Copies are some seconds old.
REMOVAL_MEMORY_MS = 60_000.0
MAX_LOGGED_SERVERS = 20


class ServerList:
    """Gives the directory the entries that the store has.

    An entry in the first list of a new era is outdated if its server has started again
    since, has turned cold, has said that it drains, or has left. Such a server is
    treated as known until the store reports a change of it, or for ``OUTDATED_MS``,
    also if it is listed again in the meantime.
    """

    __slots__ = ("_clock", "_directory", "_outdated", "_removed_ms", "_until_ms")

    def __init__(self, directory, clock):
        self._directory = directory
        self._clock = clock
        # Outdated entries of the newest list by id, and until when they are not used.
        self._outdated = {}
        self._until_ms = 0.0
        # Clock time at which the entry of a process was removed.
        self._removed_ms = {}

    def replace(self, entries):
        """Apply a complete list."""
        if self._clock.now_ms() < self._until_ms:
            self._apply_list(entries)
            return
        self._outdated = {}
        self._note_unlisted(entries)
        self._directory.set_servers(entries)

    def restore(self, entries):
        """Apply the first list of a new era."""
        self._until_ms = self._clock.now_ms() + OUTDATED_MS
        self._apply_list(entries)
        self._clock.call_later(OUTDATED_MS, self._use_outdated)

    def _apply_list(self, entries):
        """Apply a list without its outdated entries."""
        outdated = {
            entry.server_id: entry for entry in entries if self._is_outdated(entry)
        }
        current = [entry for entry in entries if entry.server_id not in outdated]
        # A further return may be from a copy in which these are ready.
        self._note_unlisted(entries, ServerState.DRAINING)
        self._directory.set_servers(current, kept=outdated)
        self._outdated = outdated
        if outdated:
            logger.warning(
                "outdated entries",
                extra={"servers": sorted(outdated)[:MAX_LOGGED_SERVERS]},
            )

    def set(self, entry):
        """Apply a changed entry."""
        self._outdated.pop(entry.server_id, None)
        self._removed_ms.pop(entry.process_key(), None)
        self._directory.set_server(entry)

    def remove(self, server_id):
        """Apply the removal of an entry."""
        self._outdated.pop(server_id, None)
        self._note_removed(server_id)
        self._directory.remove_server(server_id)

    def _use_outdated(self):
        """Use what the store still has, as its servers have not written since."""
        if self._clock.now_ms() >= self._until_ms:
            for entry in list(self._outdated.values()):
                self.set(entry)

    def _is_outdated(self, entry):
        removed_ms = self._removed_ms.get(entry.process_key())
        if removed_ms is not None:
            return self._clock.now_ms() - removed_ms < REMOVAL_MEMORY_MS
        server = self._directory.servers.get(entry.server_id)
        if server is None or not server.listed:
            return False
        known = server.entry
        if known.same_process(entry):
            is_draining = known.state is ServerState.DRAINING
            cold_until_ms = self._clock.now_ms() + entry.cold_ms
            return (is_draining and entry.state is ServerState.READY) or (
                cold_until_ms < server.cold_until_ms
            )
        if known.started_ms is None or entry.started_ms is None:
            return False
        return entry.started_ms < known.started_ms

    def _note_unlisted(self, entries, state=None):
        """Note the servers that a list lacks, or those of them in a state."""
        listed = {entry.server_id for entry in entries}
        for server_id in self._directory.servers.keys() - listed:
            known = self._directory.servers[server_id].entry
            if state is None or known.state is state:
                self._note_removed(server_id)

    def _note_removed(self, server_id):
        now_ms = self._clock.now_ms()
        self._removed_ms = {
            process: removed_ms
            for process, removed_ms in self._removed_ms.items()
            if now_ms - removed_ms < REMOVAL_MEMORY_MS
        }
        server = self._directory.servers.get(server_id)
        if server is not None and server.listed:
            self._removed_ms[server.entry.process_key()] = now_ms
