"""Metrics in the Prometheus text form."""

import unittest

from turmericmast.metrics import Metrics

GOLDEN = """\
turmericmast_calls_total{outcome="an \\"odd\\" one"} 2
turmericmast_waiting 3
turmericmast_call_seconds{quantile="0.5"} 0.010047
turmericmast_call_seconds{quantile="0.9"} 0.010047
turmericmast_call_seconds{quantile="0.99"} 0.010047
turmericmast_call_seconds{quantile="0.999"} 0.010047
turmericmast_call_seconds_count 1
"""


class MetricsTest(unittest.TestCase):
    """What is shown is what was counted."""

    def test_golden(self) -> None:
        metrics = Metrics()
        metrics.count('calls', 2, outcome='an "odd" one')
        metrics.record('call', 0.01)
        metrics.gauge('waiting', lambda: 3)
        self.assertEqual(GOLDEN, metrics.render())
