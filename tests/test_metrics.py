"""Tests of metrics in the Prometheus text format."""

import unittest

from turmericmast.metrics import Metrics

EXPECTED = """\
turmericmast_calls_total{outcome="an \\"odd\\" one"} 2
turmericmast_waiting 3
turmericmast_call_seconds{quantile="0.5"} 0.010047
turmericmast_call_seconds{quantile="0.9"} 0.010047
turmericmast_call_seconds{quantile="0.99"} 0.010047
turmericmast_call_seconds{quantile="0.999"} 0.010047
turmericmast_call_seconds_count 1
"""


class MetricsTest(unittest.TestCase):
    """Counters, gauges and histograms are rendered with their labels."""

    def test_rendered_text(self) -> None:
        metrics = Metrics()
        metrics.count('calls', 2, outcome='an "odd" one')
        metrics.record('call', 0.01)
        metrics.gauge('waiting', lambda: 3)
        self.assertEqual(EXPECTED, metrics.render())
