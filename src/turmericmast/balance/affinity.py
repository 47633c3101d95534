"""Rendezvous hashing: which instance leans to which target."""

import hashlib

from turmericmast.ids import InstanceId, TargetId

DIGEST_OCTETS = 8
_DIGESTS = 1 << (8 * DIGEST_OCTETS)


def affinity(target: TargetId, instance: InstanceId) -> float:
    """Return a number from 0 up to 1, the same wherever it is worked out.

    Different instances rank the same targets in different orders.
    """
    digest = hashlib.blake2b(
        f'{target}/{instance}'.encode(),
        digest_size=DIGEST_OCTETS,
    ).digest()
    return int.from_bytes(digest, 'big') / _DIGESTS
