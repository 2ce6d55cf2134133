"""A consensus group on real data folders, with power failures at any step of a write.

Files are in a scratch folder; the contents after a power failure are computed from what was
synced. A file keeps the contents of its last sync, and a part of later writes, possibly torn. A
new file survives by its own sync, a rename or a removal only by a sync of the folder. Each change
is kept or lost independently of the others.
"""

import os
import shutil
from pathlib import Path

import pytest

from tests.support.group import Breach, Disk, Group, Host
from traystall.catalog.models import ApplyOutcome
from traystall.storage import folder as folder_module
from traystall.storage.folder import DataFolder


class PowerFailure(Exception):
    """Interrupt a machine at any point of its work."""


class LossyFiles:
    """Track the syncs of one folder and compute its contents after a power failure."""

    def __init__(self, path: Path, rng):
        self.path = path
        self._rng = rng
        # Hard links to removed files, so that their inodes are not reused for new files.
        self._hard_links = path.parent / f"{path.name}.held"
        self._hard_links.mkdir()
        # The contents at the last sync by inode, and the durable directory entries by name.
        self._synced: dict[int, bytes] = {}
        self._names: dict[str, int] = {}

    def on_sync(self, inode: int) -> None:
        """Record the sync of a file or of the folder itself."""
        now = self._files()
        for name, found in now.items():
            held = self._hard_links / str(found)
            if not held.exists():
                os.link(self.path / name, held)
        if inode == self.path.stat().st_ino:
            self._names = now
            return
        for name, found in now.items():
            if found == inode:
                self._synced[inode] = (self.path / name).read_bytes()
                self._names.setdefault(name, inode)

    def lose_power(self) -> None:
        """Replace the folder's contents by those that survive a power failure."""
        now = self._files()
        contents = {inode: (self.path / name).read_bytes() for name, inode in now.items()}
        left: dict[str, bytes] = {}
        for name in sorted(set(now) | set(self._names)):
            before, after = self._names.get(name), now.get(name)
            inode = before if before == after else self._rng.choice((before, after))
            if inode is not None:
                left[name] = self._survivor(inode, contents.get(inode))
        for folder in (self.path, self._hard_links):
            shutil.rmtree(folder)
            folder.mkdir()
        for name, data in left.items():
            (self.path / name).write_bytes(data)
        self._names = {name: inode for name, inode in self._files().items()}
        self._synced = {inode: left[name] for name, inode in self._names.items()}

    def _survivor(self, inode, newest):
        synced = self._synced.get(inode, b"")
        if newest is None or newest == synced:
            return synced
        if not newest.startswith(synced):
            return self._rng.choice((synced, newest))
        added = bytearray(newest[len(synced) :])
        kind = self._rng.randrange(4)
        if kind == 0:
            return synced
        if kind == 1:
            return newest
        del added[self._rng.randrange(len(added)) :]
        if kind == 2 and added:
            added[self._rng.randrange(len(added))] ^= 0xFF
        return synced + bytes(added)

    def _files(self):
        return {path.name: path.stat().st_ino for path in self.path.iterdir()}


class PowerDisk:
    """Replace the group's disk: jobs wait until they are written to a data folder."""

    def __init__(self, path: Path, name: str, rng):
        path.mkdir()
        self.files = LossyFiles(path, rng)
        self.jobs = []
        # Number of syncs until the power fails; None for never.
        self.syncs_left = None
        self._name = name
        self.open()

    def open(self) -> None:
        """Recover the contents of the folder."""
        self.folder = DataFolder(str(self.files.path))
        _SYNCING_DISKS.append(self)
        try:
            recovered = self.folder.open("test", self._name)
        finally:
            _SYNCING_DISKS.pop()
        self.hard_state = recovered.hard_state
        self.snapshot = recovered.log.snapshot
        first, last = recovered.log.snapshot_index + 1, recovered.log.last_index
        self.entries = recovered.log.entries_between(first, last) if last >= first else []

    def sync(self, count):
        """Write the first jobs; raise PowerFailure if the power fails."""
        done, self.jobs = self.jobs[:count], self.jobs[count:]
        _SYNCING_DISKS.append(self)
        try:
            self.folder.write([write for job in done for write in job["writes"]])
        finally:
            _SYNCING_DISKS.pop()
        return done

    def on_sync(self, descriptor) -> None:
        """Count a sync; the power may fail before it or right after it."""
        inode = os.fstat(descriptor).st_ino
        if self.syncs_left is not None:
            self.syncs_left -= 1
            if self.syncs_left < 0:
                raise PowerFailure
        self.files.on_sync(inode)

    def lose_power(self) -> None:
        """Keep only the data that survives a power failure."""
        self.syncs_left = None
        self.jobs = []
        self.folder.close()
        self.files.lose_power()


# The disk whose syncs are running; the data folder has no reference to the test.
_SYNCING_DISKS: list[PowerDisk] = []


@pytest.fixture
def lossy_syncs(monkeypatch):
    """Intercept every sync of a data folder, so that none reaches the real disk."""
    monkeypatch.setattr(
        folder_module.os, "fsync", lambda number: _SYNCING_DISKS[-1].on_sync(number)
    )


class PowerHost(Host):
    """Run a replica with a data folder."""

    def boot(self):
        """Start from the contents of the folder."""
        if isinstance(self.disk, Disk):
            self.disk = self.group.new_disk(self)
        else:
            self.disk.folder.close()
            self.disk.jobs = []
            self.disk.open()
        self.incarnation = self.disk.folder.identity.incarnation
        super().boot()

    def sync(self, count):
        """Sync as the daemon does; a power failure stops the whole host at once."""
        try:
            super().sync(count)
        except PowerFailure:
            self.lose_power()

    def lose_power(self):
        """Lose some or all of the data that was not synced."""
        self.alive = False
        self.waiting = {}
        self.disk.lose_power()


class PowerGroup(Group):
    """Run a group whose machines lose power; acknowledged data must survive."""

    host_class = PowerHost

    def __init__(self, seed, path: Path, size=3):
        self._path = path
        self._disks = 0
        self.settling = False
        super().__init__(seed, size, faults=False)
        self.accepted_number = 0

    def new_disk(self, host) -> PowerDisk:
        """Return an empty disk."""
        self._disks += 1
        return PowerDisk(self._path / f"disk{self._disks}", host.name, self.random)

    def schedule_power_failure(self):
        """Let the power of one machine fail within its next syncs."""
        host = self._any(lambda h: h.runs)
        if host is not None:
            host.disk.syncs_left = self.random.randrange(5)

    def lose_all_power(self):
        """Let the power of every machine fail now."""
        for host in self.hosts:
            if host.alive:
                host.lose_power()

    def _choose(self):
        if self.random.random() < 0.05:
            return self.schedule_power_failure
        if self.random.random() < 0.004:
            return self.lose_all_power
        if self.random.random() < 0.03:
            return self._reboot
        return super()._choose()

    def _applied(self, number, content, result):
        super()._applied(number, content, result)
        if result.outcome is ApplyOutcome.ACCEPTED:
            self.accepted_number = max(self.accepted_number, number)
            if not self.settling and self.random.random() < 0.1:
                # Right after the acknowledgement.
                self.lose_all_power()

    def settle(self):
        """Repair all faults; the newest acknowledged number must still be held."""
        self.settling = True
        for host in self.hosts:
            host.disk.syncs_left = None
        super().settle()
        leader = self.lease_holder()
        if leader is None or leader.state.catalog.number < self.accepted_number:
            raise Breach("an acknowledged number is lost")
