"""The time line: one order over the files of all processes."""

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


class _Still(Clock):
    """A clock that stands where it is put."""

    def __init__(self, wall: int) -> None:
        self.at = wall

    def now(self) -> Seconds:
        """Return the wall time in seconds."""
        return Seconds(self.at / 1000)

    def wall(self) -> Millis:
        """Return the wall time."""
        return Millis(self.at)


class TimelineTest(unittest.TestCase):
    """Merged events, as text and as a page."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def _write(self) -> list[pathlib.Path]:
        """Let a process with a late clock receive from one with an early."""
        early = _Still(5000)
        clocks = (HybridClock(early), HybridClock(_Still(100)))
        paths = [self.folder / 'a.jsonl', self.folder / 'b.jsonl']
        with (
            EventLog('a', paths[0], clocks[0]) as one,
            EventLog('b', paths[1], clocks[1]) as other,
        ):
            one.write('sent', to='b')
            clocks[1].update(clocks[0].tick().pack())
            other.write('received', by='a')
            early.at += 1
            one.write('<done>', left=0)
        return paths

    def test_cause_stands_before_effect(self) -> None:
        events, left_out = read_events(self._write())
        self.assertEqual(GOLDEN, render_text(events))
        self.assertEqual(0, left_out)

    def test_half_a_line_is_left_out(self) -> None:
        paths = self._write()
        with paths[0].open('a', encoding='utf-8') as stream:
            stream.write('{"clock": [5')
        events, left_out = read_events(paths)
        self.assertEqual((3, 1), (len(events), left_out))

    def test_page_has_a_lane_for_each_process(self) -> None:
        page = render_html(read_events(self._write())[0])
        self.assertIn('<th>a</th><th>b</th>', page)
        self.assertIn('&lt;done&gt;', page)

    @parameterized.expand([('none', []), ('one', ['a'])])
    def test_events_are_json_lines(self, _name: str, kinds: list[str]) -> None:
        path = self.folder / 'c.jsonl'
        with EventLog('c', path, HybridClock(_Still(1))) as log:
            for kind in kinds:
                log.write(kind, number=1)
        lines = path.read_text(encoding='utf-8').splitlines()
        self.assertEqual(kinds, [json.loads(line)['event'] for line in lines])
