"""Carries the configuration between siblings when the log does not."""

from __future__ import annotations

import random
import typing

import anyio

from laburnumstep import core
from laburnumstep.siblings import _connection
from laburnumstep.siblings import _entries

if typing.TYPE_CHECKING:
    import collections.abc

    from laburnumstep.siblings import _gossip
    from laburnumstep.siblings import _links

SUBJECT = 'configuration'
"""Subject of the entries that tell who holds a configuration."""
HOLDERS = 8
"""VMs that announce one version. Each change would cost an entry for each
VM otherwise; eight can still serve 370 VMs within the bound of 4 s."""
ENTRY_SECONDS = 600.0
"""Time to expiry of an announcement, renewed at half of it."""
GRACE_SECONDS = 0.5
"""Shortest time for the log to give a version before a sibling is asked, in
seconds; up to twice as long, which spreads the load on a single holder."""
ALONE_SECONDS = 0.3
"""Time in which announcements of other holders arrive, in seconds."""
RETRY_SECONDS = 0.25
"""Time between rounds over the holders, in seconds."""
_LOG = core.get_logger('siblings')

Adopt = typing.Callable[[core.VersionedDeployment], bool]
ReadConfiguration = typing.Callable[[], core.VersionedDeployment | None]


class ConfigurationExchange:
    """Announces the version in force and fetches newer ones.

    Args:
        gossip: Carries the announcements.
        links: Fetches configurations.
        clock: Times the waits.
        randomness: Spreads the fetches over the holders.
        read: Returns the configuration in force here, or None.
        adopt: Takes a fetched configuration; tells whether it is used.
        find_address: Returns the address of a live VM, or None.
    """

    def __init__(
        self,
        gossip: _gossip.Gossip,
        links: _links.SiblingLinks,
        clock: core.Clock,
        randomness: random.Random,
        read: ReadConfiguration,
        adopt: Adopt,
        find_address: collections.abc.Callable[[str], str | None],
    ) -> None:
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._randomness = randomness
        self._read = read
        self._adopt = adopt
        self._find_address = find_address
        self._learned = anyio.Event()
        self._refused: set[tuple[int, str]] = set()
        self._held_version = 0
        self._held_since = 0.0
        gossip.subscribe(_entries.EntryKind.CONFIGURATION, self._note)

    def announce(self, name: str, live: list[str]) -> None:
        """Tell siblings of the version in force, unless enough VMs do.

        When the log gives a version to all VMs at once, the VMs with the
        highest scores for it tell the others. A VM that has heard of no
        holder after a time tells whatever its score.

        Args:
            name: Name of this VM.
            live: Names of the live VMs.
        """
        held = self._read()
        if held is None:
            return
        now = self._clock.now()
        if held.version != self._held_version:
            self._held_version = held.version
            self._held_since = now
        holders = {
            entry.origin
            for entry in self._announcements()
            if _version_of(entry) >= held.version
            and entry.expires_at - now > ENTRY_SECONDS / 2
            and (entry.origin == name or self._find_address(entry.origin))
        }
        if name in holders or len(holders) >= HOLDERS:
            return
        alone = not holders and now - self._held_since >= ALONE_SECONDS
        if alone or _rank(held.version, name, live) < HOLDERS:
            value = _entries.ConfigurationValue(held.version, held.digest)
            kind = _entries.EntryKind.CONFIGURATION
            self._gossip.publish(kind, SUBJECT, value, now + ENTRY_SECONDS)

    async def run(self) -> None:
        """Fetch each newer version that siblings announce."""
        while True:
            await self._learned.wait()
            self._learned = anyio.Event()
            if not self._find_newer():
                continue
            wait = GRACE_SECONDS * self._randomness.uniform(1.0, 2.0)
            await self._clock.sleep_until(self._clock.now() + wait)
            while self._find_newer():
                if not await self.fetch_newer():
                    retry_at = self._clock.now() + RETRY_SECONDS
                    await self._clock.sleep_until(retry_at)

    async def fetch_newer(self) -> bool:
        """Ask the holders of a newer version, one after the other.

        Returns:
            Whether a configuration was fetched and used.
        """
        addresses = [
            address
            for entry in self._find_newer()
            if (address := self._find_address(entry.origin)) is not None
        ]
        self._randomness.shuffle(addresses)
        for address in addresses:
            if await self._fetch(address):
                return True
        return False

    async def _fetch(self, address: str) -> bool:
        known = self._own_version()
        try:
            fetched = await self._links.fetch_configuration(address, known)
        except _connection.SiblingUnavailable as error:
            _LOG.info('configuration not fetched: %s', error.message)
            return False
        except core.FindingsError as error:
            _LOG.warning('configuration of %s refused: %s', address, error)
            return False
        if fetched is None or fetched.version <= self._own_version():
            return False
        adopted = self._adopt(fetched)
        if not adopted:
            self._refused.add((fetched.version, fetched.digest))
        _LOG.info(
            'configuration version=%d from=%s adopted=%s',
            fetched.version,
            address,
            adopted,
        )
        return adopted

    def _find_newer(self) -> list[_entries.GossipEntry]:
        own = self._own_version()
        self._refused = {(v, d) for v, d in self._refused if v > own}
        return [
            entry
            for entry in self._announcements()
            if isinstance(entry.value, _entries.ConfigurationValue)
            and entry.value.version > own
            and (entry.value.version, entry.value.digest) not in self._refused
        ]

    def _announcements(self) -> list[_entries.GossipEntry]:
        kind = _entries.EntryKind.CONFIGURATION
        return self._gossip.store.about(kind, SUBJECT)

    def _own_version(self) -> int:
        held = self._read()
        return held.version if held is not None else 0

    def _note(self, entry: _entries.GossipEntry) -> None:
        if not isinstance(entry.value, _entries.ConfigurationValue):
            return
        held = self._read()
        if held is not None and held.version == entry.value.version:
            if held.digest != entry.value.digest:
                _LOG.error(
                    'version %d has digest %s here and %s on %s',
                    held.version,
                    held.digest,
                    entry.value.digest,
                    entry.origin,
                )
        if entry.value.version > self._own_version():
            self._learned.set()


def _rank(version: int, name: str, live: list[str]) -> int:
    """Return how many live VMs come before this one for a version."""
    own = core.stable_hash(f'{version}|{name}')
    return sum(core.stable_hash(f'{version}|{vm}') > own for vm in live)


def _version_of(entry: _entries.GossipEntry) -> int:
    match entry.value:
        case _entries.ConfigurationValue(version):
            return version
        case _:
            return 0
