"""The settings file of a process, which may change while it runs."""

import pathlib
from typing import final


@final
class SettingsFile:
    """A settings file, and the version of it that was read last."""

    def __init__(self, path: pathlib.Path) -> None:
        """Name the file at ``path``, which is yet to be read."""
        self.path = path
        self._read_version = (0, 0)

    def mark_read(self) -> None:
        """Note the present version; to be called before it is read."""
        self._read_version = self._version()

    def has_changed(self) -> bool:
        """Tell whether the file has changed since it was read."""
        return self._version() != self._read_version

    def _version(self) -> tuple[int, int]:
        """Return modification time in ns and size; zeros if it is missing."""
        try:
            file_status = self.path.stat()
        except OSError:
            # The file counts as changed once it exists again.
            return (0, 0)
        return (file_status.st_mtime_ns, file_status.st_size)
