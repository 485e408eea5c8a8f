"""Key layout in the store (design section 6)."""

SEQUENCE_DIGITS = 16


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of keys that begin with ``prefix``.

    Raises:
        ValueError: If the prefix is empty.
    """
    if not prefix:
        raise ValueError("the prefix is empty")
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class Keys:
    """Builds the keys of one cell.

    Numbers in keys are zero-padded, so that key order is numeric order.

    Args:
        cell: Name of the cell.
    """

    def __init__(self, cell: str):
        self._root = f"/flamingoway/{cell}/"

    @property
    def processes(self) -> str:
        """Prefix of the keys of live processes."""
        return f"{self._root}process/"

    @property
    def shards(self) -> str:
        """Prefix of the keys of all shards, including their logs and snapshots."""
        return f"{self._root}shard/"

    @property
    def environments(self) -> str:
        """Prefix of the keys of all environments."""
        return f"{self._root}env/"

    def process(self, process_id: str) -> str:
        """Return the key of a live process, bound to its lease."""
        return f"{self.processes}{process_id}"

    def epoch(self, shard: str) -> str:
        """Return the key of a shard's epoch and last owner, not bound to a lease."""
        return f"{self.shards}{shard}/epoch"

    def owner(self, shard: str) -> str:
        """Return the key of a shard's owner, bound to the owner's lease."""
        return f"{self.shards}{shard}/owner"

    def log(self, shard: str) -> str:
        """Return the prefix of a shard's log."""
        return f"{self.shards}{shard}/log/"

    def log_entry(self, shard: str, sequence: int) -> str:
        """Return the key of one log entry, which holds one committed group."""
        return f"{self.log(shard)}{sequence:0{SEQUENCE_DIGITS}d}"

    def snapshot_head(self, shard: str) -> str:
        """Return the key that points to a shard's current snapshot."""
        return f"{self.shards}{shard}/head"

    def snapshots(self, shard: str) -> str:
        """Return the prefix of all snapshot generations of a shard."""
        return f"{self.shards}{shard}/snapshot/"

    def snapshot(self, shard: str, generation: int) -> str:
        """Return the prefix of the parts of one snapshot generation."""
        return f"{self.snapshots(shard)}{generation:0{SEQUENCE_DIGITS}d}/"

    def snapshot_part(self, shard: str, generation: int, part: int) -> str:
        """Return the key of one part of a snapshot."""
        return f"{self.snapshot(shard, generation)}{part:0{SEQUENCE_DIGITS}d}"

    def environment_head(self, environment: str) -> str:
        """Return the key of an environment's current version and digest."""
        return f"{self.environments}{environment}/head"

    def environment_versions(self, environment: str) -> str:
        """Return the prefix of the versions of an environment's document."""
        return f"{self.environments}{environment}/version/"

    def environment_version(self, environment: str, version: int) -> str:
        """Return the key of one version of an environment's document."""
        return f"{self.environment_versions(environment)}{version:0{SEQUENCE_DIGITS}d}"
