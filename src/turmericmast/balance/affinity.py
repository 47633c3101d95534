"""Rendezvous hashing of targets and instances."""

import hashlib

from turmericmast.ids import InstanceId, TargetId

DIGEST_BYTES = 8
"""Length of the hash in bytes."""
_DIGESTS = 1 << (8 * DIGEST_BYTES)
"""Number of different hashes."""


def affinity(target: TargetId, instance: InstanceId) -> float:
    """Return the hash of a pair as a number from 0 up to, not including, 1.

    All processes compute the same number for a pair, and instances rank the
    same targets in different orders.
    """
    digest = hashlib.blake2b(
        f'{target}/{instance}'.encode(),
        digest_size=DIGEST_BYTES,
    ).digest()
    return int.from_bytes(digest, 'big') / _DIGESTS
