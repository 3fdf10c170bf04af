"""Jobs of leased runs at one entry: queueing, placing, retries, results."""

import math
from collections.abc import Callable
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.admission import (
    HORIZONS_SECONDS,
    RETRY_AFTER_SECONDS,
    Admission,
)
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.estimates import RunTimeEstimates
from godwitbank._internal.core.runs.events import AnswerCaller, LogDecision, RunAction
from godwitbank._internal.core.runs.fleet import (
    MIN_ARRIVAL_WAIT_SECONDS,
    AgentView,
    Fleet,
)
from godwitbank._internal.core.runs.jobs import Job, Task, TaskState
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.placement import AgentChooser, Placement
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.waiting import WaitingTasks
from godwitbank._internal.models.jobs import JobEnd, JobResult, RunEnd
from godwitbank._internal.models.run_messages import (
    RunBegun,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
)

MAX_UNPLACED_TASKS = 8
"""Waiting tasks looked at in one go; behind that many that found no place the
rest is as unlikely to find one."""

MAX_MOVES = 2
"""Times a task is moved because it was slow. What was expected of it may be wrong, and
it would be as slow everywhere."""

LATE_RANK_SECONDS = 1000.0
"""Seconds of rank behind every timely task; what has been late for longer comes
after what is late for less, as it is less likely to be of use still."""

REMOTE_CAPACITY_FACTOR = 2
"""Multiple of the room that a job of another entry's caller needs that must be free:
others place there at the same moment."""

_ROOM_ELSEWHERE = {"overload", "no_endpoint", "arriving", "evacuated"}
"""Refusals for want of room at the agents met here; others meet other ones."""

_NOT_STARTED = {
    RunEnd.NOT_STARTED,
    RunEnd.CLOSED,
    RunEnd.SUPERSEDED,
    RunEnd.UNHEALTHY,
    RunEnd.INVALID,
}


_UNPLACED = {TaskState.BLOCKED, TaskState.WAITING}


class Dispatcher:
    """Places tasks at agents and turns their outcomes into results."""

    def __init__(
        self,
        zone: str,
        rng: Random,
        counts: Counts,
        now: float,
        pressure: Pressure,
        policy: Policy = DEFAULT_POLICY,
        deployment: Deployment = DEFAULT_DEPLOYMENT,
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._pressure = pressure
        self._booted_at = now
        self.jobs: dict[str, Job] = {}
        self.fleet = Fleet(deployment.agent_startup_seconds)
        self.estimates = RunTimeEstimates()
        self.admission = Admission(policy)
        self.shutdown_at = math.inf
        self._zone = zone
        self._rng = rng
        self._counts = counts
        self.on_job_removed: Callable[[str], None] = lambda job: None
        """Told of each job of which nothing is left."""
        self.may_run_elsewhere: Callable[[], bool] = lambda: False
        self.try_forward: Callable[[Job], bool] = lambda job: False
        self._waiting: dict[str, WaitingTasks] = {}
        self._limbo: list[Task] = []
        self._now = 0.0
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out

    def _note(self, event: str, request: str, **fields: object) -> None:
        self._out(LogDecision(event, request, fields))

    # Jobs

    def submit(self, job: Job) -> None:
        """Take a job, or refuse it at once if it can't be served in time."""
        guesses = [step.estimate for step in job.spec.steps]
        name = job.queue.name
        job.create_tasks([self._expect(name, guess) for guess in guesses])
        refusal = self._find_refusal(job)
        if refusal in _ROOM_ELSEWHERE and self.try_forward(job):
            return
        if refusal is not None:
            self.refuse(job, refusal)
            return
        self.jobs[job.spec.job] = job
        self._counts.add("jobs_accepted")
        self._note(
            "job_accepted",
            job.spec.job,
            queue=name,
            priority=job.queue.priority,
            tasks=sum(job.tasks_left),
            objective=round(job.objective, 3),
        )
        for task in job.list_ready_tasks():
            self._get_waiting(job).add(task)
        self.dispatch(job.queue.service)

    def _expect(self, queue: str, guess: float) -> float:
        if not self._policy.mended_estimates:
            return guess
        return self.estimates.predict(queue, guess)

    def _find_refusal(self, job: Job) -> str | None:
        if self._now + job.objective > self.shutdown_at:
            # This process ends before the job would.
            return "stopping"
        service = job.queue.service
        for step in job.spec.steps:
            if self.fleet.fits_any_agent(service, step):
                continue
            if self.fleet.fits_evacuated_agent(service, step):
                return "evacuated"
            if self.fleet.list_accepting_agents(service):
                return "too_large"
        capacity = self.fleet.measure_capacity(service, self._now)
        young = self._now - self._booted_at < self._deployment.agent_startup_seconds
        if not capacity and (young or self.fleet.awaits_endpoint(self._now)):
            # Agents will be here and know their endpoints within a second or so. A
            # job that can't wait that long would be late, and take room from others.
            waits = job.rank - self._now >= MIN_ARRIVAL_WAIT_SECONDS
            return None if waits or not self._policy.arrival_bound else "arriving"
        if job.has_remote_caller and self._has_room_now(job):
            # What waits elsewhere waits for other agents' room.
            return None
        own = self.measure_backlog()
        tasks = self._get_waiting(job).count
        return self.admission.find_refusal(job, own, tasks, capacity, self._now)

    def _has_room_now(self, job: Job) -> bool:
        """Tell whether there is room for a job twice over, and nothing waits for it."""
        if self._get_waiting(job).count:
            return False
        views = self.fleet.list_accepting_agents(job.queue.service)
        step = max(job.spec.steps, key=lambda each: each.needs.cpu)
        cpu = max(step.needs.cpu, 1)
        room = sum(max(view.free.cpu, 0) // cpu for view in views)
        return room >= REMOTE_CAPACITY_FACTOR * step.width

    def refuse(self, job: Job, reason: str) -> None:
        """Answer that a job was not taken, and has not run if that is so."""
        self._counts.add("jobs_refused", reason)
        service = job.queue.service
        self._note(
            "job_refused",
            job.spec.job,
            queue=job.queue.name,
            reason=reason,
            lag=round(self._pressure.lag, 3),
            cores=round(self.fleet.measure_capacity(service, self._now), 1),
            waiting=self._get_waiting(job).count,
        )
        end = JobEnd.GIVEN_UP if job.ran else JobEnd.REFUSED
        result = JobResult(job.spec.job, end, reason, job.ran, RETRY_AFTER_SECONDS)
        for caller in job.callers:
            self._out(AnswerCaller(caller, result))

    def _get_waiting(self, job: Job) -> WaitingTasks:
        service = job.queue.service
        found = self._waiting.get(service)
        if found is None:
            found = self._waiting[service] = WaitingTasks(self._policy.late_last)
        return found

    def measure_backlog(self) -> list[float]:
        """Tell the core-seconds of work that waits here, by ``HORIZONS_SECONDS``."""
        totals = [0.0] * len(HORIZONS_SECONDS)
        for waiting in self._waiting.values():
            timely = waiting.measure_timely_work(HORIZONS_SECONDS, self._now)
            totals = [sum(pair) for pair in zip(totals, timely, strict=True)]
        return totals

    def give_up(self, job: Job, reason: str) -> None:
        """End a job without its being done; what runs of it is stopped."""
        if job.ending:
            return
        end = JobEnd.GIVEN_UP if job.ran else JobEnd.REFUSED
        self._counts.add("jobs_given_up", reason)
        self._finish(
            job, JobResult(job.spec.job, end, reason, job.ran, RETRY_AFTER_SECONDS)
        )

    def _finish(self, job: Job, result: JobResult) -> None:
        job.ending = True
        for caller in job.callers:
            self._out(AnswerCaller(caller, result))
        job.callers = []
        self._note(
            "job_ended",
            job.spec.job,
            end=result.end,
            reason=result.reason,
            s=round(self._now - job.arrival, 4),
            objective=round(job.objective, 3),
        )
        self._counts.add("jobs_ended", result.end)
        for step in job.tasks:
            for task in step:
                self._abandon(task)
        self._check_gone(job)

    def _abandon(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            self._get_waiting(task.job).mark_removed()
            task.state = TaskState.DONE
        elif task.state is TaskState.BLOCKED:
            task.state = TaskState.DONE
        elif task.state is TaskState.SENT:
            view = self.fleet.find(task.agent)
            if view is not None:
                self._counts.add("stops_sent")
                self._out(Send(view.stream, StopRun(task.name, task.run)))

    def _check_gone(self, job: Job) -> None:
        """Forget an ended job once nothing of it can run any more."""
        if job.ending and not job.list_active_tasks() and not job.ended:
            job.ended = True
            if self.jobs.get(job.spec.job) is job:
                del self.jobs[job.spec.job]
                self.on_job_removed(job.spec.job)

    # Placing

    def dispatch(self, service: str, only: AgentView | None = None) -> None:
        """Send waiting tasks to agents that have room.

        :param only: the one agent whose room has changed since all were looked at.
        """
        waiting = self._waiting.get(service)
        if waiting is None or not waiting.count:
            return
        if only is None:
            views = self.fleet.list_accepting_agents(service)
        else:
            views = [only] if only.accepts_runs else []
        unplaced: list[Task] = []
        while views and len(unplaced) < MAX_UNPLACED_TASKS:
            task = waiting.pop(self._now)
            if task is None:
                break
            place = self._choose_place(task, views)
            if place is None:
                unplaced.append(task)
                continue
            waiting.mark_removed()
            for passed in unplaced:
                passed.passed_over += 1
            self._send(task, place.view, place.parked)
        waiting.put_back(unplaced)

    def _choose_place(self, task: Task, views: list[AgentView]) -> Placement | None:
        away = self._deployment.off_rack_factor
        chooser = AgentChooser(self._zone, self._rng, self._now, self._policy, away)
        return chooser.choose(task, views)

    def _send(self, task: Task, view: AgentView, parked: bool) -> None:
        task.state = TaskState.SENT
        task.run += 1
        task.agent = view.address
        task.sent_at = self._now
        task.job.ran = True
        view.record_start(task, parked, self._now)
        rules = task.step_spec
        self._counts.add("runs_sent", "parked" if parked else "placed")
        self._note("run_sent", task.name, run=task.run, agent=view.address, park=parked)
        order = StartRun(
            task.name,
            task.run,
            task.job.spec.payload,
            *rules.needs,
            self._rank_in(task),
            task.expected,
            rules.spread,
            task.checkpoint,
            parked,
            view.link.estimate_clock(self._now),
        )
        self._out(Send(view.stream, order))

    def _rank_in(self, task: Task) -> float:
        left = task.job.rank - self._now
        if not self._policy.late_last:
            return left
        # Late work lets all timely work pass, at the agent too.
        return left if left >= 0 else LATE_RANK_SECONDS - left

    # Evacuated zones

    def evacuate(self, zones: frozenset[str], changed: frozenset[str]) -> None:
        """Place nothing new in some zones, and use those that were taken back."""
        self.fleet.evacuate(zones, changed)
        self._give_up_stranded()
        for service in self._waiting:
            self.dispatch(service)

    def _give_up_stranded(self) -> None:
        """Answer callers whose tasks would have to wait for an evacuated zone."""
        for job in list(self.jobs.values()):
            if not job.ending and self._is_stranded(job):
                self.give_up(job, "evacuated")

    def _is_stranded(self, job: Job) -> bool:
        service = job.queue.service
        return self.fleet.has_evacuated_zones and any(
            not self.fleet.fits_any_agent(service, rules)
            and self.fleet.fits_evacuated_agent(service, rules)
            for rules, tasks in zip(job.spec.steps, job.tasks, strict=True)
            if any(task.state in _UNPLACED for task in tasks)
        )

    # Outcomes

    def handle_run_begun(self, view: AgentView, message: RunBegun) -> None:
        """Note that a run no longer waits at its agent."""
        task = view.tasks.get(message.task)
        if task is not None and task.run == message.run:
            view.mark_begun(task)
            self.dispatch(view.service, view)

    def handle_run_slow(self, view: AgentView, message: RunSlow) -> None:
        """Move a slow run, if there is room for it elsewhere now.

        What it has done so far is lost. While work waits for room that would make
        other work late.
        """
        task = view.tasks.get(message.task)
        if task is None or task.run != message.run or task.job.ending:
            return
        service = task.job.queue.service
        if not self._policy.moves:
            return
        if task.moves >= MAX_MOVES or self._get_waiting(task.job).count:
            return
        task.avoid.add(view.address)
        views = [
            each
            for each in self.fleet.list_accepting_agents(service)
            if each is not view
        ]
        place = self._choose_place(task, views)
        if (
            place is None
            or place.parked
            or place.view.slowdown_factor >= view.slowdown_factor
        ):
            return
        task.moves += 1
        self._counts.add("task_moves")
        self._note("run_moved", task.name, run=task.run, agent=view.address)
        self._out(Send(view.stream, StopRun(task.name, task.run)))

    def handle_run_outcome(self, view: AgentView, message: RunOutcome) -> None:
        """Act on the end of a run."""
        task = self._find_task(view, message)
        if task is None:
            self._counts.add("outcomes_dropped")
            return
        view.remove_run(task)
        task.agent = ""
        end = RunEnd(message.end)
        self._counts.add("outcomes", end)
        self._judge(view, task, end, message.elapsed)
        if message.checkpoint:
            task.checkpoint = message.checkpoint
        self._settle(task, end, view.address)
        # What has failed waits again, and any agent may take it.
        self.dispatch(view.service, view if end is RunEnd.DONE else None)

    def _find_task(self, view: AgentView, message: RunOutcome) -> Task | None:
        task = view.tasks.get(message.task)
        if task is None:
            # Told on a new stream: the run was left in limbo on the old one.
            for limbo in self._limbo:
                if limbo.name == message.task and limbo.agent == view.address:
                    task = limbo
        if task is None or task.run != message.run:
            return None
        if task in self._limbo:
            self._limbo.remove(task)
        return task

    def _judge(self, view: AgentView, task: Task, end: RunEnd, elapsed: float) -> None:
        if end is RunEnd.DONE:
            view.health.record_success(elapsed, task.expected)
            self.estimates.observe(task.job.queue.name, elapsed)
        elif end in (RunEnd.FAILED, RunEnd.STALLED, RunEnd.UNHEALTHY):
            ejected = view.health.record_failure(task.job.spec.job, self._now)
            if ejected and not self._policy.ejection:
                view.health.clear()
            elif ejected:
                self._counts.add("ejections")
                self._note("agent_ejected", task.name, agent=view.address, end=end)

    def _settle(self, task: Task, end: RunEnd, agent: str) -> None:
        job = task.job
        if job.ending:
            task.state = TaskState.DONE
            self._check_gone(job)
        elif end is RunEnd.DONE:
            self._complete(task)
        elif end is RunEnd.FAILED:
            self._fail(task, agent)
        elif end is RunEnd.TAKEN_OVER:
            task.state = TaskState.DONE
            self.give_up(job, "submitted_elsewhere")
        elif end is RunEnd.INVALID:
            task.state = TaskState.DONE
            result = JobResult(job.spec.job, JobEnd.FAILED, "invalid", True)
            self._finish(job, result)
        else:
            if end not in _NOT_STARTED or end is RunEnd.UNHEALTHY:
                task.avoid.add(agent)
            if end is RunEnd.SUPERSEDED:
                # Another entry ran it there before, with numbers we don't know.
                task.run *= 2
            self._requeue(task)

    def _complete(self, task: Task) -> None:
        job = task.job
        task.state = TaskState.DONE
        job.tasks_left[task.step] -= 1
        if not any(job.tasks_left):
            result = JobResult(job.spec.job, JobEnd.COMPLETED, "", True)
            self._finish(job, result)
            return
        if job.tasks_left[task.step] == 0:
            for ready in job.list_ready_tasks():
                self._get_waiting(job).add(ready)

    def _fail(self, task: Task, agent: str) -> None:
        job = task.job
        task.failures += 1
        task.avoid.add(agent)
        self._counts.add("task_retries", "failed")
        if task.failures < job.queue.max_attempts:
            self._requeue(task)
            return
        task.state = TaskState.DONE
        result = JobResult(job.spec.job, JobEnd.FAILED, "attempts", True)
        self._finish(job, result)

    def _requeue(self, task: Task) -> None:
        self._get_waiting(task.job).add(task)
        if self._is_stranded(task.job):
            self.give_up(task.job, "evacuated")

    # Agents that come and go

    def handle_agent_loss(self, view: AgentView) -> None:
        """Leave the runs of an agent without a stream in limbo."""
        self.fleet.remove(view, self._now)
        for task in list(view.tasks.values()):
            view.remove_run(task)
            task.state = TaskState.ORPHANED
            task.lapses_at = self._now + LAPSE_SECONDS
            self._limbo.append(task)

    def reconcile(self, view: AgentView, held: list[str]) -> None:
        """Compare limbo with what an agent still holds, on its new stream."""
        names = set(held)
        for task in [each for each in self._limbo if each.agent == view.address]:
            if task.name in names:
                self._limbo.remove(task)
                task.state = TaskState.SENT
                view.add_run(task, self._now)
            elif view.news is not None and view.news.reconciled:
                self._release(task)

    def release_orphaned_runs(self, view: AgentView) -> None:
        """Free what was in limbo at an agent that was started anew."""
        for task in [each for each in self._limbo if each.agent == view.address]:
            self._release(task)

    def _release(self, task: Task) -> None:
        self._limbo.remove(task)
        self._counts.add("limbo_released")
        self._note("run_lost", task.name, run=task.run, agent=task.agent)
        agent = task.agent
        task.agent = ""
        if self.may_run_elsewhere():
            self.give_up(task.job, "cut_off")
        self._settle(task, RunEnd.LOST, agent)

    def _is_hopeless(self, job: Job) -> bool:
        if self.admission.is_too_late(job, self._now):
            return True
        # With no endpoint there it will only get later; its caller may act now.
        late = self._now > job.rank and self._policy.arrival_bound
        return late and not self.fleet.list_accepting_agents(job.queue.service)

    def check_deadlines(self) -> None:
        """Act on deadlines and on runs that must have lapsed by now."""
        for task in [each for each in self._limbo if each.lapses_at <= self._now]:
            self._release(task)
        for job in list(self.jobs.values()):
            if job.ending:
                continue
            if job.deadline <= self._now:
                self.give_up(job, "deadline")
            elif not job.ran and self._is_hopeless(job):
                self.give_up(job, "too_late")
        for service in self._waiting:
            self.dispatch(service)
