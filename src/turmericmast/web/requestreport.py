"""Log lines and metrics of one request at an edge."""

from collections.abc import Collection
from typing import final

from turmericmast.balance.candidate import Candidate
from turmericmast.call.call import Call, Loss
from turmericmast.events import Field
from turmericmast.ids import InstanceId, TargetId
from turmericmast.units import MILLIS_PER_SECOND
from turmericmast.web.edgeattempt import EdgeAttempt
from turmericmast.web.edgecontext import EdgeContext
from turmericmast.web.edgeevents import (
    EdgeEvent,
    describe_candidate,
    describe_problem,
)
from turmericmast.web.edgerequest import EdgeRequest
from turmericmast.web.edgeresponse import EdgeResponse
from turmericmast.web.problem import Problem


@final
class RequestReport:
    """Tells what is decided about a request, with what decided it."""

    def __init__(
        self,
        context: EdgeContext,
        incoming: EdgeRequest,
        call: Call,
        tried: Collection[TargetId],
    ) -> None:
        """Report on ``incoming``.

        The attempts are read from ``call`` and ``tried`` at each line.
        """
        self._context = context
        self._incoming = incoming
        self._call = call
        self._tried = tried
        self._ended: list[str] = []

    def attempt_ended(self, attempt: EdgeAttempt) -> None:
        """Note how an attempt at a target ended."""
        self._note_end(
            attempt.candidate.view.record.target,
            attempt.response,
            attempt.task.result(),
        )

    def forwarding_ended(
        self, peer: InstanceId, response: EdgeResponse, loss: Loss | None
    ) -> None:
        """Note how an attempt at another instance ended."""
        self._note_end(peer, response, loss)

    def caller_left(self) -> None:
        """Report that the caller has disconnected."""
        self._context.metrics.count('requests', outcome='left')
        self._write(EdgeEvent.caller_left)

    def hedged(self, second: Candidate) -> None:
        """Report a second attempt at a target while the first one runs."""
        self._context.metrics.count('repeats', loss='slow')
        self._write(EdgeEvent.hedged, **self._describe(second))

    def forwarded(self, peer: InstanceId) -> None:
        """Report that another instance gets the request."""
        self._write(EdgeEvent.forwarded, peer=peer)

    def retried(self, loss: Loss, best: Candidate | None) -> None:
        """Report a further attempt after one that failed by ``loss``."""
        self._context.metrics.count('repeats', loss=loss.value)
        self._write(EdgeEvent.retried, loss=loss.value, **self._describe(best))

    def broken_off(self, loss: Loss) -> None:
        """Report that a response that has begun cannot be completed."""
        self._context.metrics.count('requests', outcome='broken_off')
        self._write(EdgeEvent.aborted, loss=loss.value)

    def refused(self, problem: Problem, best: Candidate | None) -> None:
        """Report an error response; ``best`` is the best target known."""
        self._end(f'refused_{problem.status:d}')
        self._write(
            EdgeEvent.refused,
            **describe_problem(problem),
            **self._describe(best),
        )

    def failed_at_target(self) -> None:
        """Report that a failure of a target is passed on to the caller."""
        self._write(EdgeEvent.target_failed)
        self._end('target_failed')

    def answered(self) -> None:
        """Report a response; only metrics tell of one at the first attempt."""
        if self._call.attempts > 1:
            self._write(EdgeEvent.answered)
        self._end('answered')

    def _note_end(
        self,
        place: TargetId | InstanceId,
        response: EdgeResponse,
        loss: Loss | None,
    ) -> None:
        outcome = loss.value if loss else 'whole'
        self._ended.append(f'{place}:{response.status}:{outcome}')

    def _end(self, outcome: str) -> None:
        metrics = self._context.metrics
        metrics.count('requests', outcome=outcome)
        metrics.record(
            'request',
            self._context.clock.now() - self._incoming.began_at,
            service=self._incoming.pool.service,
        )

    def _describe(self, candidate: Candidate | None) -> dict[str, Field]:
        return describe_candidate(candidate, self._context.clock.now())

    def _write(self, event: EdgeEvent, **fields: Field) -> None:
        incoming = self._incoming
        self._context.events.write(
            event.value,
            request=incoming.request_id,
            route=incoming.route.name,
            service=incoming.pool.service,
            **self._describe_account(),
            **fields,
            **self._progress(),
        )

    def _describe_account(self) -> dict[str, Field]:
        """Return the account and the age of the proof, as event fields.

        Nothing without an account; the key is never written.
        """
        identity = self._incoming.identity
        if identity is None or identity.account is None:
            return {}
        fence = self._context.edge.key_fence
        age = fence.proof_age(self._context.clock.now())
        return {
            'account': identity.account.account,
            'proof_ms': int(min(age, MILLIS_PER_SECOND) * MILLIS_PER_SECOND),
        }

    def _progress(self) -> dict[str, Field]:
        """Return the attempts and times so far, as fields of events."""
        incoming = self._incoming
        now = self._context.clock.now()
        goal_at = incoming.requirements(()).goal_at
        return {
            'tried': ','.join(sorted(self._tried)),
            'losses': ','.join(loss.value for loss in self._call.losses),
            'ended': ','.join(self._ended),
            'waited_ms': int((now - incoming.began_at) * MILLIS_PER_SECOND),
            'goal_left_ms': int((goal_at - now) * MILLIS_PER_SECOND),
            'left_ms': int((incoming.call.deadline - now) * MILLIS_PER_SECOND),
            'cluster_index': self._context.edge.index,
            'version': self._context.routes_version,
        }
