"""Submissions from admission to answer: claims, starts, results and failures."""

import heapq
from collections.abc import Callable
from random import Random

from godwitbank._internal.core import ejection
from godwitbank._internal.core.catalog import Catalog
from godwitbank._internal.core.claims import Claims
from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import (
    Action,
    ClaimsFailed,
    ClaimsWritten,
    ReleaseClaims,
    Reply,
    Send,
    WriteClaims,
)
from godwitbank._internal.core.identity import Timing
from godwitbank._internal.core.pool import AgentView, OutstandingStart
from godwitbank._internal.core.recalls import Recalls
from godwitbank._internal.core.service import Service
from godwitbank._internal.core.work import Job, Task, TaskState
from godwitbank._internal.models.messages import (
    Cancel,
    Ending,
    Finished,
    Recall,
    Recalled,
    Refusal,
    Refused,
    Resolved,
    Start,
    Verdict,
    Want,
)
from godwitbank._internal.models.outcomes import (
    Complete,
    Failed,
    Ran,
    Reason,
    TaskAnswer,
)
from godwitbank._internal.models.tasks import Submission

NO_AGENT_TIMEOUT_SECONDS = 3.0
"""Seconds without a usable agent after which a service's waiting jobs fail."""

RETRY_AFTER_SECONDS = 1.0
"""Default ``retry_after`` of a refusal or failure, when no estimate is available."""

_REASONS_BY_ENDING = {
    Ending.ENDPOINT_FAILED: Reason.ENDPOINT_FAILED,
    Ending.TIMED_OUT: Reason.TASK_TIMEOUT,
}


class Dispatcher:
    """Dispatches the jobs in flight at one entry to agents."""

    def __init__(
        self, catalog: Catalog, counts: Counts, timing: Timing, rng: Random, zone: str
    ) -> None:
        self.jobs: dict[str, Job] = {}
        self.services: dict[str, Service] = {}
        self.claims = Claims()
        self.entry_count = 1
        self._recalls = Recalls()
        self._catalog = catalog
        self._counts = counts
        self._timing = timing
        self._rng = rng
        self._zone = zone
        self._deadlines: list[tuple[float, str]] = []
        self._emit: Callable[[Action], None] = lambda action: None
        self._now = 0.0

    def begin_event(self, now: float, emit: Callable[[Action], None]) -> None:
        """Set the time and the receiver of actions for the event being handled."""
        self._now = now
        self._emit = emit

    @property
    def next_wakeup(self) -> float:
        """Time of the next deadline or claim write."""
        deadline = self._deadlines[0][0] if self._deadlines else float("inf")
        return min(deadline, self.claims.next_write)

    def configure(self, name: str) -> None:
        """Apply the catalog's document of a service."""
        installed = self._catalog.find(name)
        if installed is None:
            return
        service = self.services.get(name)
        if service is None:
            window = self._timing.start_window
            self.services[name] = Service(
                installed, self._rng, self._zone, window, self._now
            )
        else:
            service.configure(installed)

    # Submissions

    def submit(self, submission: Submission) -> None:
        """Admit a submission, or refuse it immediately."""
        service = self.services.get(submission.service)
        if service is None:
            detail = f"no document for service {submission.service!r}"
            self._refuse(submission.submission, Reason.UNKNOWN_SERVICE, detail, None)
            return
        refusal = service.check_admission(submission, self._now)
        if refusal is not None:
            self._refuse(submission.submission, *refusal)
            return
        if self._needs_claim(service, submission) and self.claims.failing:
            detail = "request ids can't be claimed while the table is down"
            self._refuse(
                submission.submission,
                Reason.STORE_UNAVAILABLE,
                detail,
                RETRY_AFTER_SECONDS,
            )
            return
        job = Job(submission, self._now, service.compute_rank(submission, self._now))
        self.jobs[job.submission] = job
        heapq.heappush(self._deadlines, (job.deadline, job.submission))
        self._counts.add("submissions")
        for task in job.tasks:
            if job.submission not in self.jobs:
                # Admission of an earlier task has failed the job. The remaining
                # tasks must not be queued, as their caller has its answer.
                break
            self._queue_or_claim(service, task)
        self._write_claims()
        self.dispatch(service)

    def _refuse(
        self, submission: str, reason: Reason, detail: str, retry_after: float | None
    ) -> None:
        self._counts.add("submissions_refused", reason)
        self._emit(Reply(Failed(submission, reason, Ran.NOT_RUN, detail, retry_after)))

    @staticmethod
    def _needs_claim(service: Service, submission: Submission) -> bool:
        classes = service.document.classes
        return any(not classes[task.class_name].idempotent for task in submission.tasks)

    def _queue_or_claim(self, service: Service, task: Task) -> None:
        class_table = service.document.classes[task.spec.class_name]
        if class_table.idempotent:
            service.queue.add(task)
            return
        key = make_claim_key(task.job.service, task.spec.request_id)
        if self.claims.find_holder(key) is not None:
            self._recall(task)
            return
        task.state = TaskState.CLAIMING
        task.claim = f"{task.job.submission}:{task.index}"
        self.claims.request(key, task.claim, self._now)

    # Claims

    def _write_claims(self) -> None:
        batch = self.claims.next_batch(self._now, self.entry_count)
        if batch is not None:
            self._counts.add("claim_writes")
            self._emit(WriteClaims(*batch))

    def resolve_claims(self, event: ClaimsWritten) -> None:
        """Queue the tasks whose claims were won; query agents about the others."""
        for token, won in self.claims.resolve(event.batch, event.lost).items():
            submission, _, index = token.rpartition(":")
            job = self.jobs.get(submission)
            task = job.tasks[int(index)] if job else None
            if task is None or task.state is not TaskState.CLAIMING:
                self._release_late_claim(event, token, won)
                continue
            service = self.services[task.job.service]
            if won:
                service.queue.add(task)
                self.dispatch(service)
            else:
                task.claim = ""
                self._recall(task)
        self._write_claims()

    def _release_late_claim(self, event: ClaimsWritten, token: str, won: bool) -> None:
        # The write took effect after its task had failed as not run. Unless the
        # claim is released, the request id can never be used again.
        if won and token in event.written:
            self._emit(ReleaseClaims({event.written[token]: token}))

    def handle_claims_failure(self, event: ClaimsFailed) -> None:
        """Fail jobs that wait for claims once the table repeatedly doesn't answer."""
        self._counts.add("claim_writes_failed")
        self.claims.mark_unanswered(event.batch, self._now)
        if not self.claims.failing:
            return
        for job in list(self.jobs.values()):
            if any(task.state is TaskState.CLAIMING for task in job.tasks):
                detail = "request ids can't be claimed while the table is down"
                self._fail_job(
                    job, Reason.STORE_UNAVAILABLE, detail, RETRY_AFTER_SECONDS
                )

    def _recall(self, task: Task) -> None:
        task.state = TaskState.RECALLING
        self._counts.add("recalls")
        service = self.services[task.job.service]
        streams = [view.stream for view in service.pool.views if view.stream]
        key = make_claim_key(task.job.service, task.spec.request_id)
        deadline = self._recalls.request(key, task, len(streams), self._now)
        heapq.heappush(self._deadlines, (deadline, task.job.submission))
        for stream in streams:
            self._emit(Send(stream, Recall(task.job.service, task.spec.request_id)))
        if not streams:
            self._fail_as_duplicate(task, running=False)

    def handle_recalled(self, recalled: Recalled) -> None:
        """Handle an agent's answer about a request that was claimed before."""
        key = make_claim_key(recalled.service, recalled.request_id)
        for task, running, resolved in self._recalls.handle_answer(
            key, recalled.verdict
        ):
            if task.state is not TaskState.RECALLING:
                continue
            if recalled.verdict == Verdict.FINISHED:
                self._counts.add("answers_replayed")
                self._finish_task(task, recalled)
            elif resolved:
                self._fail_as_duplicate(task, running)

    def _fail_as_duplicate(self, task: Task, running: bool) -> None:
        detail = f"request id {task.spec.request_id!r} was submitted before"
        detail += " and is still running" if running else ""
        retry_delay = RETRY_AFTER_SECONDS if running else None
        self._fail_job(
            task.job, Reason.DUPLICATE_REQUEST, detail, retry_delay, task, True
        )

    # Starts

    def dispatch_all(self) -> None:
        """Start as many waiting tasks of every service as agents have slots for."""
        for service in self.services.values():
            self.dispatch(service)

    def dispatch(self, service: Service) -> None:
        """Start waiting tasks of a service while agents have free slots."""
        queue = service.queue
        same_zone = service.document.policy.same_zone
        while queue.waiting:
            view = service.pool.choose(self._now, same_zone)
            if view is None:
                break
            task = queue.pop()
            if task is None:
                break
            self._start(service, task, view)
        self._announce_demand(service)

    def _start(self, service: Service, task: Task, view: AgentView) -> None:
        class_table = service.document.classes[task.spec.class_name]
        remaining = task.job.deadline - self._now
        timeout = min(class_table.timeout_seconds, max(remaining, 0.001))
        key = task.begin_attempt()
        start_by = view.clock + self._timing.start_window
        view.outstanding[key] = OutstandingStart(
            task, start_by, self._now, view.incarnation
        )
        view.count_sent_start()
        task.job.started += 1
        self._counts.add("starts_sent")
        request_id = "" if class_table.idempotent else task.spec.request_id
        self._emit(
            Send(
                view.stream or 0,
                Start(
                    key,
                    view.incarnation,
                    task.job.service,
                    task.spec.class_name,
                    request_id,
                    start_by,
                    timeout,
                    task.spec.payload,
                ),
            )
        )

    def _announce_demand(self, service: Service) -> None:
        waiting = service.queue.waiting
        rank = (service.queue.find_rank() or 0.0) if waiting else 0.0
        if not service.announced_demand.is_due(waiting, rank, self._now):
            return
        service.announced_demand.record(waiting, rank, self._now)
        for view in service.pool.views:
            if view.stream is not None and view.demand.is_stale(
                waiting, rank, self._now
            ):
                view.demand.record(waiting, rank, self._now)
                self._counts.add("wants_sent")
                self._emit(Send(view.stream, Want(waiting, rank - self._now)))

    # Answers

    def _pop_outstanding(
        self, view: AgentView, message: Finished | Refused
    ) -> OutstandingStart | None:
        view.update_free_slots(message.free_slots, message.starts_received)
        return view.outstanding.pop(message.key, None)

    def handle_finished(self, view: AgentView, message: Finished) -> None:
        """Record a task's result in its job and dispatch to the freed slot."""
        view.acknowledged += 1
        sent = self._pop_outstanding(view, message)
        service = self.services.get(view.service)
        if sent is None:
            # A repeated result, or one of a task that was given up: discard it.
            self._counts.add("answers_dropped", "unknown")
        elif sent.task.key != message.key or sent.task.state is not TaskState.SENT:
            self._counts.add("answers_dropped", "late")
        else:
            self._update_health(view, sent, message)
            self._finish_task(sent.task, message)
        if service is not None:
            self.dispatch(service)

    def _update_health(
        self, view: AgentView, sent: OutstandingStart, message: Finished
    ) -> None:
        service = self.services[sent.task.job.service]
        failed = message.ending != Ending.ANSWERED
        class_name = sent.task.spec.class_name
        mean = service.statistics[class_name].mean
        view.failures.add(message.key.submission, failed, self._now)
        if not failed:
            view.observe_run(message.run_time, mean)
            service.observe_run_time(class_name, message.run_time)
        if view.probing and self._now >= view.ejected_until:
            if failed or message.run_time > mean * SLOW_PROBE_FACTOR:
                ejection.eject(view, self._now)
            else:
                ejection.reinstate(view)
                self._counts.add("reinstated")
        elif failed:
            # Without a failure this check, which finds slow agents too, waits for the
            # next heartbeat: comparing with every peer after every answer took a
            # third of the core's time.
            self.eject_if_unhealthy(view, service)

    def eject_if_unhealthy(self, view: AgentView, service: Service) -> None:
        """Eject an agent that fails or is slow in comparison with its peers."""
        reason = ejection.find_reason(view, service.pool, self._now)
        if reason is not None:
            self._counts.add("ejected", reason)
            ejection.eject(view, self._now)

    def _finish_task(self, task: Task, message: Finished | Recalled) -> None:
        job = task.job
        if message.ending != Ending.ANSWERED:
            reason = _REASONS_BY_ENDING.get(
                Ending(message.ending), Reason.ENDPOINT_FAILED
            )
            detail = message.body.decode(errors="replace")[:200]
            self._fail_job(job, reason, detail, None, task, True)
            return
        answer = TaskAnswer(message.status, message.content_type, message.body)
        if job.add_answer(task, answer):
            answers = tuple(each for each in job.answers if each is not None)
            del self.jobs[job.submission]
            self._counts.add("submissions_completed")
            self._emit(Reply(Complete(job.submission, answers)))

    def handle_refused(self, view: AgentView, message: Refused) -> None:
        """Requeue a task whose agent refused to start it."""
        sent = self._pop_outstanding(view, message)
        self._counts.add("starts_returned", message.reason)
        if sent is None or sent.task.key != message.key:
            return
        if message.reason in (Refusal.LEAVING, Refusal.LAPSED, Refusal.NO_ENDPOINT):
            # Stop sending at once; the agent's EndpointState may not be here yet.
            view.leaving = True
        self._requeue(sent.task)

    def _requeue(self, task: Task) -> None:
        if task.state is not TaskState.SENT:
            return
        job = task.job
        job.started -= 1
        task.refusals += 1
        service = self.services[job.service]
        service.queue.add(task, front=True)
        if task.refusals > service.document.classes[task.spec.class_name].retries:
            detail = f"agents refused the task {task.refusals} times"
            self._fail_job(
                job, Reason.RETRIES_EXHAUSTED, detail, RETRY_AFTER_SECONDS, task
            )
            return
        self.dispatch(service)

    def handle_resolved(self, view: AgentView, message: Resolved) -> None:
        """Handle an agent's answer about a start whose state was unknown."""
        self._counts.add("resolved", message.verdict)
        if message.verdict in (Verdict.RUNNING, Verdict.FINISHED):
            return
        sent = view.outstanding.pop(message.key, None)
        if sent is None or sent.task.key != message.key:
            return
        if message.verdict == Verdict.FENCED:
            self._requeue(sent.task)
        else:
            self.mark_outcome_unknown(sent, "the agent no longer knows the task")

    def mark_outcome_unknown(self, sent: OutstandingStart, detail: str) -> None:
        """Fail the job of a started task whose outcome can't be determined."""
        if sent.task.state is TaskState.SENT:
            self._counts.add("tasks_lost")
            self._fail_job(
                sent.task.job,
                Reason.OUTCOME_UNKNOWN,
                detail,
                None,
                sent.task,
            )

    # Failures

    def _fail_job(
        self,
        job: Job,
        reason: Reason,
        detail: str,
        retry_after: float | None,
        task: Task | None = None,
        has_run: bool = False,
    ) -> None:
        if self.jobs.pop(job.submission, None) is None:
            return
        service = self.services[job.service]
        service.drop_waiting(job.tasks)
        ran = Ran.MAY_HAVE_RUN if job.started or has_run else Ran.NOT_RUN
        ran = Ran.MAY_HAVE_RUN if job.unanswered < len(job.tasks) else ran
        self._counts.add("submissions_failed", reason)
        self._release_claims(job)
        index = task.index if task else None
        failed = Failed(job.submission, reason, ran, detail, retry_after, index)
        self._emit(Reply(failed))
        self._cancel_sent(service, job)
        self._announce_demand(service)

    def _release_claims(self, job: Job) -> None:
        claims = {}
        for task in job.tasks:
            unstarted = task.state in (TaskState.DROPPED, TaskState.CLAIMING)
            if task.claim and unstarted:
                key = make_claim_key(job.service, task.spec.request_id)
                claims[key] = task.claim
                self.claims.abandon(key, task.claim)
                task.state = TaskState.DROPPED
        if claims:
            self._counts.add("claims_released", amount=len(claims))
            self._emit(ReleaseClaims(claims))

    def _cancel_sent(self, service: Service, job: Job) -> None:
        policy = service.document.policy
        may_park = service.document.endpoint.parked and policy.message_weight > 0
        sent = {task.key for task in job.tasks if task.state is TaskState.SENT}
        for task in job.tasks:
            if task.state is not TaskState.ANSWERED:
                task.state = TaskState.DROPPED
        if not may_park or not sent:
            # Agents park no starts, so a cancellation would arrive too late.
            return
        for view in service.pool.views:
            for key in sent & view.outstanding.keys():
                if view.stream is not None:
                    self._counts.add("cancels_sent")
                    self._emit(Send(view.stream, Cancel(key)))

    def cancel(self, submission: str) -> None:
        """Fail a submission whose caller disconnected; drop its unstarted tasks."""
        job = self.jobs.get(submission)
        if job is not None:
            self._fail_job(job, Reason.CANCELLED, "the caller hung up", None)

    def check_timers(self) -> None:
        """Handle deadlines, claim retries and services without usable agents."""
        while self._deadlines and self._deadlines[0][0] <= self._now:
            _, submission = heapq.heappop(self._deadlines)
            job = self.jobs.get(submission)
            if job is not None:
                self._check_deadline(job)
        self._write_claims()
        for service in self.services.values():
            self._check_agents(service)

    def _check_deadline(self, job: Job) -> None:
        if job.deadline <= self._now:
            detail = "no answer before the deadline"
            self._fail_job(job, Reason.DEADLINE_PASSED, detail, RETRY_AFTER_SECONDS)
            return
        for task in self._recalls.take_expired(job, self._now):
            self._fail_as_duplicate(task, running=False)

    def _check_agents(self, service: Service) -> None:
        if service.pool.count_usable(self._now) or not service.queue.waiting:
            service.without_agents_since = None
            return
        if service.without_agents_since is None:
            service.without_agents_since = self._now
        if self._now - service.without_agents_since < NO_AGENT_TIMEOUT_SECONDS:
            return
        for job in list(self.jobs.values()):
            is_waiting = any(task.state is TaskState.WAITING for task in job.tasks)
            if is_waiting and self.services[job.service] is service:
                detail = "every endpoint of the service is gone"
                self._fail_job(job, Reason.NO_ENDPOINT, detail, RETRY_AFTER_SECONDS)


SLOW_PROBE_FACTOR = 4.0
"""Multiple of its class's mean run time above which a probe counts as slow."""


def make_claim_key(service: str, request_id: str) -> str:
    """Make the table key for the claim of a request id.

    >>> make_claim_key("desk", "r1")
    'claim/desk/r1'
    """
    return f"claim/{service}/{request_id}"
