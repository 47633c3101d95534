"""The timeline: events of all processes merged into one order."""

import json
import pathlib
import tempfile
import unittest

from parameterized import parameterized

from turmericmast.clock import Clock, HybridClock
from turmericmast.events import EventLog
from turmericmast.ids import Millis, Seconds
from turmericmast.programs.timeline import (
    read_events,
    render_html,
    render_text,
)

GOLDEN = """\
    0.000  a              sent             to=b
    0.000  b              received         by=a
    0.001  a              <done>           left=0
"""


class _ManualClock(Clock):
    """A clock that advances only when ``at`` is set."""

    def __init__(self, wall: int) -> None:
        self.at = wall

    def now(self) -> Seconds:
        """Return the time that was set, in seconds."""
        return Seconds(self.at / 1000)

    def wall(self) -> Millis:
        """Return the time that was set, in milliseconds."""
        return Millis(self.at)


class TimelineTest(unittest.TestCase):
    """Merged events, rendered as text and as an HTML page."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _write(self) -> list[pathlib.Path]:
        """Write the logs of two processes and return their paths.

        The wall clock of the receiver is 4.9 s behind that of the sender.
        """
        sender_clock = _ManualClock(5000)
        clocks = (HybridClock(sender_clock), HybridClock(_ManualClock(100)))
        paths = [self.folder / 'a.jsonl', self.folder / 'b.jsonl']
        with (
            EventLog('a', paths[0], clocks[0]) as sender_log,
            EventLog('b', paths[1], clocks[1]) as receiver_log,
        ):
            sender_log.write('sent', to='b')
            clocks[1].update(clocks[0].tick().pack())
            receiver_log.write('received', by='a')
            sender_clock.at += 1
            sender_log.write('<done>', left=0)
        return paths

    def test_cause_is_ordered_before_effect(self) -> None:
        events, skipped_count = read_events(self._write())
        self.assertEqual(GOLDEN, render_text(events))
        self.assertEqual(0, skipped_count)

    def test_truncated_line_is_skipped(self) -> None:
        paths = self._write()
        with paths[0].open('a', encoding='utf-8') as stream:
            stream.write('{"clock": [5')
        events, skipped_count = read_events(paths)
        self.assertEqual((3, 1), (len(events), skipped_count))

    def test_page_has_a_column_for_each_process(self) -> None:
        page = render_html(read_events(self._write())[0])
        self.assertIn('<th>a</th><th>b</th>', page)
        self.assertIn('&lt;done&gt;', page)

    @parameterized.expand([('none', []), ('one', ['a'])])
    def test_events_are_json_lines(self, _name: str, kinds: list[str]) -> None:
        path = self.folder / 'c.jsonl'
        with EventLog('c', path, HybridClock(_ManualClock(1))) as log:
            for kind in kinds:
                log.write(kind, number=1)
        lines = path.read_text(encoding='utf-8').splitlines()
        self.assertEqual(kinds, [json.loads(line)['event'] for line in lines])
