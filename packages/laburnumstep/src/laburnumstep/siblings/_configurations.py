"""Distribution of configurations between siblings.

A VM that does not receive a version from the log fetches it from a sibling.
"""

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
"""Subject of the entries that announce configurations."""
MAX_ANNOUNCERS = 8
"""Most VMs that announce one version. Without the limit each change would
cost one entry for each VM; eight VMs can serve 370 within the 4 s in which a
version has to be in force everywhere."""
ENTRY_SECONDS = 600.0
"""Lifetime of an announcement, in seconds; it is renewed at half of it."""
LOG_GRACE_SECONDS = 0.5
"""Shortest wait for the log to deliver an announced version before it is
fetched from a sibling, in seconds. The wait is random up to twice as long,
which spreads the fetches when only one sibling announces the version."""
UNANNOUNCED_SECONDS = 0.3
"""Time for announcements by other VMs to arrive, in seconds. A VM that has
received none by then announces the version whatever its rank."""
RETRY_SECONDS = 0.25
"""Delay before the announcing siblings are tried again, in seconds."""
_LOG = core.get_logger('siblings')

AdoptConfiguration = typing.Callable[[core.VersionedDeployment], bool]
ReadConfiguration = typing.Callable[[], core.VersionedDeployment | None]


class ConfigurationExchange:
    """Announces the version in force and fetches newer ones.

    Args:
        gossip: Publishes the announcements.
        links: Fetches configurations.
        clock: Clock of the waits and expiry times.
        randomness: Spreads the fetches over the announcing siblings.
        read_configuration: Returns the configuration in force on this VM,
            or None.
        adopt: Applies a fetched configuration and returns whether it is in
            force.
        find_address: Returns the address of a VM, or None if it has failed
            or is unknown.
    """

    def __init__(
        self,
        gossip: _gossip.Gossip,
        links: _links.SiblingLinks,
        clock: core.Clock,
        randomness: random.Random,
        read_configuration: ReadConfiguration,
        adopt: AdoptConfiguration,
        find_address: collections.abc.Callable[[str], str | None],
    ) -> None:
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._randomness = randomness
        self._read_configuration = read_configuration
        self._adopt = adopt
        self._find_address = find_address
        self._newer_announced = anyio.Event()
        self._refused: set[tuple[int, str]] = set()
        self._active_version = 0
        self._active_since = 0.0
        gossip.subscribe(
            _entries.EntryKind.CONFIGURATION, self._handle_announcement
        )

    def announce(self, name: str, live: list[str]) -> None:
        """Announce the version in force unless enough VMs announce it.

        When the log delivers a version to all VMs at once, only the VMs with
        the highest scores for it announce it. A VM that has received no
        announcement after a time announces it whatever its score.

        Args:
            name: Name of this VM.
            live: Names of the live VMs.
        """
        active = self._read_configuration()
        if active is None:
            return
        now = self._clock.now()
        if active.version != self._active_version:
            self._active_version = active.version
            self._active_since = now
        announcers = {
            entry.origin
            for entry in self._list_announcements()
            if _get_version(entry) >= active.version
            and entry.expires_at - now > ENTRY_SECONDS / 2
            and (entry.origin == name or self._find_address(entry.origin))
        }
        if name in announcers or len(announcers) >= MAX_ANNOUNCERS:
            return
        unannounced = (
            not announcers and now - self._active_since >= UNANNOUNCED_SECONDS
        )
        if unannounced or _rank(active.version, name, live) < MAX_ANNOUNCERS:
            value = _entries.ConfigurationValue(active.version, active.digest)
            kind = _entries.EntryKind.CONFIGURATION
            self._gossip.publish(kind, SUBJECT, value, now + ENTRY_SECONDS)

    async def run(self) -> None:
        """Fetch each newer version that siblings announce."""
        while True:
            await self._newer_announced.wait()
            self._newer_announced = anyio.Event()
            if not self._list_newer():
                continue
            wait = LOG_GRACE_SECONDS * self._randomness.uniform(1.0, 2.0)
            await self._clock.sleep_until(self._clock.now() + wait)
            while self._list_newer():
                if not await self.fetch_newer():
                    retry_at = self._clock.now() + RETRY_SECONDS
                    await self._clock.sleep_until(retry_at)

    async def fetch_newer(self) -> bool:
        """Try the siblings that announce a newer version, one by one.

        Returns:
            Whether a configuration was fetched and is in force.
        """
        addresses = [
            address
            for entry in self._list_newer()
            if (address := self._find_address(entry.origin)) is not None
        ]
        self._randomness.shuffle(addresses)
        for address in addresses:
            if await self._fetch(address):
                return True
        return False

    async def _fetch(self, address: str) -> bool:
        known = self._get_active_version()
        try:
            fetched = await self._links.fetch_configuration(address, known)
        except _connection.SiblingUnavailable as error:
            _LOG.info('fetching the configuration failed: %s', error.message)
            return False
        except core.FindingsError as error:
            _LOG.warning(
                'configuration fetched from %s is invalid: %s', address, error
            )
            return False
        if fetched is None or fetched.version <= self._get_active_version():
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

    def _list_newer(self) -> list[_entries.GossipEntry]:
        own = self._get_active_version()
        self._refused = {(v, d) for v, d in self._refused if v > own}
        return [
            entry
            for entry in self._list_announcements()
            if isinstance(entry.value, _entries.ConfigurationValue)
            and entry.value.version > own
            and (entry.value.version, entry.value.digest) not in self._refused
        ]

    def _list_announcements(self) -> list[_entries.GossipEntry]:
        kind = _entries.EntryKind.CONFIGURATION
        return self._gossip.store.list_entries(kind, SUBJECT)

    def _get_active_version(self) -> int:
        active = self._read_configuration()
        return active.version if active is not None else 0

    def _handle_announcement(self, entry: _entries.GossipEntry) -> None:
        if not isinstance(entry.value, _entries.ConfigurationValue):
            return
        active = self._read_configuration()
        if active is not None and active.version == entry.value.version:
            if active.digest != entry.value.digest:
                _LOG.error(
                    'configuration conflict: version %d has digest %s here '
                    'and %s on %s',
                    active.version,
                    active.digest,
                    entry.value.digest,
                    entry.origin,
                )
        if entry.value.version > self._get_active_version():
            self._newer_announced.set()


def _rank(version: int, name: str, live: list[str]) -> int:
    """Return how many live VMs have a higher score for a version."""
    own = core.stable_hash(f'{version}|{name}')
    return sum(core.stable_hash(f'{version}|{vm}') > own for vm in live)


def _get_version(entry: _entries.GossipEntry) -> int:
    match entry.value:
        case _entries.ConfigurationValue(version):
            return version
        case _:
            return 0
