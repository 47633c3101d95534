"""Links to targets are lost while hardly any request would use them.

Pattern: an instance is cut off from all targets, some of which it has not tried
since, because their service is hardly in use there or its domain is evacuated.
"""

import unittest

from parameterized import parameterized

from tests.edge_samples import NOW, edge, feed, instance, target
from turmericmast.cluster.records import TargetReach


class EvacuatedDomainTest(unittest.TestCase):
    """Targets of an evacuated domain do not make an instance lose callers.

    Guards against instances that went without callers until the evacuation was
    taken back: nothing is sent to such targets, so they stay out of reach.
    """

    @parameterized.expand(
        [
            ('evacuated', ('tirol-a',), TargetReach.direct),
            ('in_use', (), TargetReach.forwarded),
        ]
    )
    def test_reach(
        self, _name: str, evacuated: tuple[str, ...], expected: TargetReach
    ) -> None:
        sample = edge(
            instance('own'),
            feed(
                instance('own'),
                targets=(
                    *(target(name) for name in '123'),
                    *(target(name, 'tirol-b') for name in '45'),
                ),
                evacuated=evacuated,
            ),
        )
        for view in sample.views():
            if view.record.domain == 'tirol-a':
                view.lose_path(NOW)
        sample.update_reach(NOW)
        self.assertIs(sample.record.reach, expected)
