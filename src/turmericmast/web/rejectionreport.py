"""Report responses that were rejected."""

from turmericmast.events import EventLog, Field
from turmericmast.metrics import Metrics
from turmericmast.web.edgeevents import EdgeEvent
from turmericmast.web.rejection import Rejection
from turmericmast.web.transfer import Transfer


def report_rejection(
    rejection: Rejection, metrics: Metrics, events: EventLog, **names: Field
) -> None:
    """Count and log a rejected response; ``names`` tell whose it is."""
    metrics.count('responses_rejected', reason=rejection.value)
    events.write(
        EdgeEvent.response_rejected.value, reason=rejection.value, **names
    )


def report_malformed(
    transfer: Transfer, metrics: Metrics, events: EventLog, **names: Field
) -> None:
    """Report that a transfer ended by a malformed response, if it did."""
    malformed = transfer.malformed
    if malformed:
        report_rejection(
            malformed.rejection,
            metrics,
            events,
            status=malformed.status,
            detail=str(malformed),
            **names,
        )
