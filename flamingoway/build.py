"""Identifies the code that a process runs."""

import functools
import hashlib
from pathlib import Path

PACKAGE = Path(__file__).parent
DIGEST_BYTES = 4


@functools.cache
def build_digest(package: Path = PACKAGE) -> str:
    """Return a short digest of the package's source, in hexadecimal digits.

    Args:
        package: Folder of the package.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for path in sorted(package.rglob("*.py")):
        data = path.read_bytes()
        digest.update(f"{path.relative_to(package).as_posix()} {len(data)} ".encode())
        digest.update(data)
    return digest.hexdigest()
