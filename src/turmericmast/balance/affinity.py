"""Rendezvous hashing of targets or services and instances."""

import hashlib

from turmericmast.ids import InstanceId, ServiceId, TargetId

DIGEST_BYTES = 8
"""Length of the hash in bytes."""
_DIGESTS = 1 << (8 * DIGEST_BYTES)
"""Number of different hashes."""


def affinity(key: TargetId | ServiceId, instance: InstanceId) -> float:
    """Return the hash of a pair as a number from 0 up to, not including, 1.

    All processes compute the same number for a pair, and instances rank the
    same keys in different orders.
    """
    digest = hashlib.blake2b(
        f'{key}/{instance}'.encode(),
        digest_size=DIGEST_BYTES,
    ).digest()
    return int.from_bytes(digest, 'big') / _DIGESTS
