"""Report bytes that were received behind a response."""

from turmericmast.events import EventLog, Field
from turmericmast.metrics import Metrics
from turmericmast.web.responsebody import ResponseBody


def report_excess(
    body: ResponseBody, metrics: Metrics, events: EventLog, **names: Field
) -> None:
    """Count and log bytes behind ``body``; ``names`` tell whose it is."""
    if body.excess or body.is_filled:
        metrics.count('responses_excess', body=body.state.value)
        events.write(
            'response_excess',
            octets=body.excess,
            body=body.state.value,
            **names,
        )
