"""Describes the state that the build on the path reads from a data folder.

It imports nothing else, so that it runs with the sources of older builds.
"""

import hashlib
import pathlib
import sys

from turmericmast.cluster.cluster import Cluster
from turmericmast.disk.store import FileStore
from turmericmast.replica.messages import EntryKind
from turmericmast.wire.codec import decode


def main(folder: str) -> None:
    """Print the last index, and a digest of the state up to it."""
    with FileStore(pathlib.Path(folder)) as store:
        recovered = store.load()
    cluster = Cluster()
    if recovered.snapshot and recovered.snapshot.state:
        cluster.restore(decode(recovered.snapshot.state).unwrap())
    for entry in recovered.entries:
        is_command = entry.kind is EntryKind.command and entry.payload
        if is_command and cluster.index < entry.index <= recovered.commit:
            cluster.apply(entry.index, decode(entry.payload).unwrap())
    state = repr(cluster.snapshot()).encode()
    sys.stdout.write(f'{cluster.index} {hashlib.sha256(state).hexdigest()}\n')


if __name__ == '__main__':
    main(sys.argv[1])
