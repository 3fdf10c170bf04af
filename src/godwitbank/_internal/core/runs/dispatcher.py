"""Queueing, placement, retries and results of the jobs at one entry."""

import math
from collections.abc import Callable
from copy import copy
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.admission import (
    HORIZONS_SECONDS,
    Admission,
)
from godwitbank._internal.core.runs.capacity_requests import CapacityRequests
from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT, Deployment
from godwitbank._internal.core.runs.estimates import RunTimeEstimates
from godwitbank._internal.core.runs.events import AnswerCaller, LogDecision, RunAction
from godwitbank._internal.core.runs.fleet import (
    MIN_ARRIVAL_WAIT_SECONDS,
    AgentView,
    Fleet,
)
from godwitbank._internal.core.runs.held_runs import LATE_RANK_SECONDS
from godwitbank._internal.core.runs.idle_capacity import has_idle_capacity
from godwitbank._internal.core.runs.jobs import Job, Task, TaskState
from godwitbank._internal.core.runs.orphans import OrphanedRuns
from godwitbank._internal.core.runs.placement import (
    AgentChooser,
    Placement,
    estimate_run_time_factor,
    find_locality_factor,
)
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.queue_loads import QueueLoads
from godwitbank._internal.core.runs.queue_monitor import QueueMonitor
from godwitbank._internal.core.runs.rescues import Rescues, is_worth_rescuing
from godwitbank._internal.core.runs.retry_times import RetryTimes
from godwitbank._internal.core.runs.returning import RefusedJobs
from godwitbank._internal.core.runs.shares import QueueShares
from godwitbank._internal.core.runs.waiting import WaitingTasks
from godwitbank._internal.models.jobs import JobEnd, JobResult, RunEnd
from godwitbank._internal.models.resources import Resources
from godwitbank._internal.models.run_messages import (
    Reserve,
    RunBegun,
    RunDoomed,
    RunOutcome,
    RunSlow,
    StartRun,
    StopRun,
)

MAX_UNPLACED_TASKS = 8
"""Waiting tasks without room at any agent, counted over all turns, after each of which
many a dispatch leaves out one more turn: the tasks behind them are unlikely to find
room either."""

MAX_TRIED_TASKS = 32
"""Waiting tasks that may fail to find an agent in one dispatch at all, for lack of room
or because they wait for a faster endpoint than those with room. It bounds the processor
time of a dispatch."""

MAX_MOVES = 2
"""Times a task is moved off a slow endpoint. If its predicted run time is wrong, the
task is as slow everywhere and further moves gain nothing."""

REMOTE_CAPACITY_FACTOR = 2
"""How many times the capacity needed by a job of another entry must be free to accept
the job for immediate placement. Other entries place tasks at the same agents
concurrently."""

_FORWARDABLE_REFUSALS = {"overload", "no_endpoint", "arriving", "evacuated"}
"""Refusals for lack of capacity at the agents this entry is connected to. Other entries
are connected to other agents, so the job may be forwarded."""

_NOT_STARTED = {
    RunEnd.NOT_STARTED,
    RunEnd.CLOSED,
    RunEnd.SUPERSEDED,
    RunEnd.UNHEALTHY,
    RunEnd.INVALID,
}


_UNPLACED_STATES = {TaskState.BLOCKED, TaskState.WAITING}


class Dispatcher:
    """Places tasks at agents and turns the outcomes of their runs into job results.

    :ivar jobs: jobs in flight, by id.
    :ivar shutdown_at: time at which this process stops; infinite while it serves.
    """

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
        self._off_rack_factor = deployment.off_rack_factor
        self._policy = policy
        self._pressure = pressure
        self._booted_at = now
        self.jobs: dict[str, Job] = {}
        self.fleet = Fleet(deployment.agent_startup_seconds)
        self.estimates = RunTimeEstimates()
        self.loads = QueueLoads()
        self.monitor = QueueMonitor(counts)
        self.queues = QueueShares(self.loads)
        self._requests = CapacityRequests(rng)
        self.admission = Admission(policy, self.loads)
        self.shutdown_at = math.inf
        self.refused = RefusedJobs()
        # With a copy of the generator, refusals don't change where tasks are placed.
        self.retry_times = RetryTimes(
            self.jobs, self.refused, pressure, deployment, copy(rng), now
        )
        self._zone = zone
        self._rng = rng
        self._counts = counts
        self.on_job_removed: Callable[[str], None] = lambda job: None
        """Called with the id of each job that has ended with none of its runs alive."""
        self.may_run_elsewhere: Callable[[], bool] = lambda: False
        """Returns whether a job that lost its runs may run at another entry by now."""
        self.try_forward: Callable[[Job], bool] = lambda job: False
        """Forwards a job to an entry with free capacity; false if there is none."""
        self._waiting: dict[str, WaitingTasks] = {}
        self._orphaned = OrphanedRuns()
        self._rescues = Rescues()
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit

    def _log_decision(self, event: str, request: str, **fields: object) -> None:
        self._emit(LogDecision(event, request, fields))

    # Jobs

    def submit(self, job: Job) -> None:
        """Accept a job, forward it, or refuse it if it can't be served in time."""
        estimates = [step.estimate for step in job.spec.steps]
        name = job.queue.name
        job.create_tasks(
            [self._predict_run_time(name, estimate) for estimate in estimates]
        )
        refusal = self._find_refusal(job)
        if refusal in _FORWARDABLE_REFUSALS and self.try_forward(job):
            return
        self.loads.record_asked(name, job.core_seconds, self._now)
        self.monitor.record_slack(name, job.rank - self._now)
        if refusal is not None:
            self.refuse(job, refusal)
            return
        self.jobs[job.spec.job] = job
        self.monitor.record_accepted(name)
        self.fleet.record_demand(job, self._now)
        self._log_decision(
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

    def _predict_run_time(self, queue: str, estimate: float) -> float:
        if not self._policy.mended_estimates:
            return estimate
        return self.estimates.predict(queue, estimate)

    def _find_refusal(self, job: Job) -> str | None:
        if self._now + job.objective > self.shutdown_at:
            # This process stops before the job would be done.
            return "stopping"
        if not job.ran and self.admission.is_too_late(job, self._now):
            # It was held until the entry knew which jobs others own.
            return "too_late"
        service = job.queue.service
        for step in job.spec.steps:
            if self.fleet.fits_any_agent(service, step):
                continue
            if self.fleet.fits_evacuated_agent(service, step):
                return "evacuated"
            if self.fleet.list_accepting_agents(service):
                return "too_large"
        capacity = self.fleet.measure_capacity(service, self._now)
        just_started = (
            self._now - self._booted_at < self._deployment.agent_startup_seconds
        )
        if not capacity and (just_started or self.fleet.awaits_endpoint(self._now)):
            # Agents connect and learn of their endpoints within about a second. A job
            # that can't wait that long would be late and use capacity others need.
            can_wait = job.rank - self._now >= MIN_ARRIVAL_WAIT_SECONDS
            return None if can_wait or not self._policy.arrival_bound else "arriving"
        if job.has_remote_caller and self._has_free_capacity(job):
            # The backlogs of other entries don't count against the job, as they wait
            # for the capacity of other agents.
            return None
        views = self.fleet.list_accepting_agents(service)
        if has_idle_capacity(views, capacity) and self._can_place(job):
            return None
        return self._find_overload(job, capacity)

    def _find_overload(self, job: Job, capacity: float) -> str | None:
        """Return the reason to refuse a job for the work that goes before it.

        A queue below its floor is only measured by its own work.
        """
        service = job.queue.service
        queues = self.queues.find_service(service)
        own_work = self.measure_waiting()
        tasks = self._get_waiting(job).count
        now = self._now
        ahead = self.admission.measure_ahead(job, own_work, queues, now)
        refusal = self.admission.find_refusal(job, ahead, tasks, capacity, now)
        if refusal is None or not queues.graded:
            return refusal
        if not self.queues.is_below_floor(
            job.queue, self._estimate_total_cores(service), now
        ):
            return refusal
        ahead = self.admission.measure_own_queue(job, own_work, now)
        capacity *= queues.floors.get(job.queue.name, 0.0)
        return self.admission.find_refusal(job, ahead, tasks, capacity, now)

    def _can_place(self, job: Job) -> bool:
        """Return whether a job's first task would be started now, whatever waits.

        Tasks that wait for faster endpoints leave the capacity of others to the job.
        """
        tasks = job.list_ready_tasks()
        views = self.fleet.list_accepting_agents(job.queue.service)
        if not tasks or not self._has_slots(job, views):
            return False
        placement = self._choose_agent(tasks[0], views)
        return placement is not None and not placement.parked

    def _estimate_total_cores(self, service: str) -> float:
        """Estimate the cores of all endpoints of a service, those of others included.

        This entry is connected to some of the agents only, while loads are known over
        all entries.
        """
        capacity = self.fleet.measure_capacity(service, self._now)
        return capacity / self.loads.agent_overlap

    def _has_free_capacity(self, job: Job) -> bool:
        """Return whether a job can be placed immediately.

        Nothing may be waiting, and ``REMOTE_CAPACITY_FACTOR`` times the capacity that
        the job needs must be free.
        """
        if self._get_waiting(job).count:
            return False
        views = self.fleet.list_accepting_agents(job.queue.service)
        return self._has_slots(job, views)

    def _has_slots(self, job: Job, views: list[AgentView]) -> bool:
        step = max(job.spec.steps, key=lambda each: each.needs.cpu)
        cpu = max(step.needs.cpu, 1)
        slots = sum(max(view.free.cpu, 0) // cpu for view in views)
        return slots >= REMOTE_CAPACITY_FACTOR * step.width

    def refuse(self, job: Job, reason: str) -> None:
        """Answer a job's callers that it was not accepted.

        The answer says given up instead of refused if a run of the job was ever sent.
        """
        self.monitor.record_refused(job.queue.name, reason, self._now)
        cores = self.fleet.measure_capacity(job.queue.service, self._now)
        retry = self.retry_times.plan_return(job, reason, cores, self._now)
        self._log_decision(
            "job_refused",
            job.spec.job,
            queue=job.queue.name,
            reason=reason,
            lag=round(self._pressure.lag, 3),
            cores=round(cores, 1),
            waiting=self._get_waiting(job).count,
            **retry.describe(),
        )
        end = JobEnd.GIVEN_UP if job.ran else JobEnd.REFUSED
        result = JobResult(job.spec.job, end, reason, job.ran, retry.seconds)
        for caller in job.callers:
            self._emit(AnswerCaller(caller, result))

    def _get_waiting(self, job: Job) -> WaitingTasks:
        service = job.queue.service
        found = self._waiting.get(service)
        if found is None:
            found = self._waiting[service] = WaitingTasks(
                self._policy.late_last, self.queues
            )
        return found

    def measure_waiting(self) -> dict[str, list[float]]:
        """Return the core-seconds that wait here for each horizon, by queue."""
        totals: dict[str, list[float]] = {}
        for waiting in self._waiting.values():
            totals |= waiting.measure_timely_work_by_queue(HORIZONS_SECONDS, self._now)
        return totals

    def give_up(self, job: Job, reason: str) -> None:
        """End an unfinished job and stop its runs."""
        if job.ending:
            return
        end = JobEnd.GIVEN_UP if job.ran else JobEnd.REFUSED
        self.monitor.record_given_up(job.queue.name, reason, self._now)
        cores = self.fleet.measure_capacity(job.queue.service, self._now)
        retry = self.retry_times.plan_return(job, reason, cores, self._now)
        self._finish(job, JobResult(job.spec.job, end, reason, job.ran, retry.seconds))

    def _finish(self, job: Job, result: JobResult) -> None:
        job.ending = True
        for caller in job.callers:
            self._emit(AnswerCaller(caller, result))
        job.callers = []
        self._log_decision(
            "job_ended",
            job.spec.job,
            queue=job.queue.name,
            end=result.end,
            reason=result.reason,
            s=round(self._now - job.arrival, 4),
            objective=round(job.objective, 3),
            retry_s=round(result.retry_after or 0.0, 3),
        )
        late = self._now - job.arrival > job.objective
        self.monitor.record_ended(job.queue.name, result.end, late, self._now)
        for step in job.tasks:
            for task in step:
                self._drop_task(task)
        self._remove_if_ended(job)

    def _drop_task(self, task: Task) -> None:
        if task.state is TaskState.WAITING:
            self._get_waiting(task.job).mark_removed()
            task.state = TaskState.DONE
        elif task.state is TaskState.BLOCKED:
            task.state = TaskState.DONE
        elif task.state is TaskState.SENT:
            view = self.fleet.find(task.agent)
            if view is not None:
                self._counts.add("stops_sent")
                self._emit(Send(view.stream, StopRun(task.name, task.run)))

    def _remove_if_ended(self, job: Job) -> None:
        """Remove a job whose result is out once none of its runs can be alive."""
        if job.ending and not job.list_active_tasks() and not job.ended:
            job.ended = True
            if self.jobs.get(job.spec.job) is job:
                del self.jobs[job.spec.job]
                self.on_job_removed(job.spec.job)

    # Placement

    def dispatch(self, service: str, changed: AgentView | None = None) -> None:
        """Send waiting tasks to agents with free capacity.

        :param changed: the only agent whose capacity changed since all agents were
            tried; ``None`` to try all.
        """
        waiting = self._waiting.get(service)
        if waiting is None or not waiting.count:
            return
        if changed is None:
            views = self.fleet.list_accepting_agents(service)
        else:
            views = [changed] if changed.accepts_runs else []
        self.queues.update_turns(
            service, self._estimate_total_cores(service), self._now
        )
        unplaced: list[Task] = []
        without_room = 0
        while views and len(unplaced) < MAX_TRIED_TASKS:
            task = waiting.pop(self._now, without_room // MAX_UNPLACED_TASKS)
            if task is None:
                break
            placement = self._choose_agent(task, views)
            if placement is None:
                unplaced.append(task)
                without_room += not _has_room(task, views)
                continue
            waiting.mark_removed()
            for overtaken in unplaced:
                overtaken.passed_over += 1
            self._send_start(task, placement.view, placement.parked)
        waiting.put_back(unplaced)
        self._request_capacity(service, unplaced)

    def _request_capacity(self, service: str, unplaced: list[Task]) -> None:
        """Ask agents to keep capacity for urgent tasks that weren't placed."""
        queues = self.queues.find_service(service)
        if not queues.graded or not self._policy.reservations:
            return
        urgent = [task for task in unplaced if queues.has_less_urgent(task.job.queue)]
        views = self.fleet.list_accepting_agents(service)
        for task, view in self._requests.choose(urgent, views, self._now):
            self._counts.add("reservations_sent")
            start_in = task.job.rank - self._now if self._policy.preemption else 0.0
            priority = task.job.queue.priority
            message = Reserve(priority, *task.step_spec.needs, start_in)
            self._emit(Send(view.stream, message))

    def _choose_agent(self, task: Task, views: list[AgentView]) -> Placement | None:
        chooser = AgentChooser(
            self._zone, self._rng, self._now, self._policy, self._off_rack_factor
        )
        service = task.job.queue.service
        chooser.rack_pressure = self.fleet.find_rack_pressure(service, self._now)
        return chooser.choose(task, views, self.fleet.list_accepting_agents(service))

    def _send_start(self, task: Task, view: AgentView, parked: bool) -> None:
        self._rescues.remove(task)
        task.state = TaskState.SENT
        task.run += 1
        task.agent = view.address
        task.sent_at = self._now
        task.job.ran = True
        view.record_start(task, parked, self._now)
        self._requests.end(view)
        self.loads.record_given(task.job.queue.name, task.core_seconds, self._now)
        self.retry_times.record_start(task, self._now)
        step_spec = task.step_spec
        self._counts.add("runs_sent", "parked" if parked else "placed")
        factor = estimate_run_time_factor(view, task, self._off_rack_factor)
        self._log_decision(
            "run_sent",
            task.name,
            run=task.run,
            agent=view.address,
            park=parked,
            factor=round(factor, 2),
        )
        order = StartRun(
            task.name,
            task.run,
            task.job.spec.payload,
            *step_spec.needs,
            self._compute_agent_rank(task),
            task.expected * find_locality_factor(view, task, self._off_rack_factor),
            step_spec.spread,
            task.checkpoint,
            parked,
            view.link.estimate_clock(self._now),
            task.job.queue.priority,
            not task.preempted,
        )
        self._emit(Send(view.stream, order))

    def _compute_agent_rank(self, task: Task) -> float:
        seconds_left = task.job.rank - self._now
        if not self._policy.late_last:
            return seconds_left
        # Late tasks are scheduled after all timely ones at the agent, too.
        return seconds_left if seconds_left >= 0 else LATE_RANK_SECONDS - seconds_left

    # Evacuated zones

    def evacuate(self, zones: frozenset[str], changed: frozenset[str]) -> None:
        """Stop placing runs in evacuated zones, and use the zones that are open again.

        :param zones: the zones that are evacuated now.
        :param changed: the zones that were evacuated or opened again by this change.
        """
        self.fleet.evacuate(zones, changed)
        self._give_up_evacuated()
        for service in self._waiting:
            self.dispatch(service)

    def _give_up_evacuated(self) -> None:
        """Give up jobs with a task that only fits endpoints of evacuated zones."""
        for job in list(self.jobs.values()):
            if not job.ending and self._is_blocked_by_evacuation(job):
                self.give_up(job, "evacuated")

    def _is_blocked_by_evacuation(self, job: Job) -> bool:
        service = job.queue.service
        return self.fleet.has_evacuated_zones and any(
            not self.fleet.fits_any_agent(service, step_spec)
            and self.fleet.fits_evacuated_agent(service, step_spec)
            for step_spec, tasks in zip(job.spec.steps, job.tasks, strict=True)
            if any(task.state in _UNPLACED_STATES for task in tasks)
        )

    # Outcomes

    def handle_run_begun(self, view: AgentView, message: RunBegun) -> None:
        """Record that a parked run got capacity at its agent."""
        task = view.tasks.get(message.task)
        if task is not None and task.run == message.run:
            view.mark_begun(task)
            self.dispatch(view.service, view)

    def handle_run_slow(self, view: AgentView, message: RunSlow) -> None:
        """Move a slow run to a faster agent if one has free capacity now.

        The run's progress is lost. While other tasks wait for capacity nothing is
        moved, because repeating that work would make them late.
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
        placement = self._choose_agent(task, views)
        if (
            placement is None
            or placement.parked
            or placement.view.slowdown_factor >= view.slowdown_factor
        ):
            return
        task.moves += 1
        self._counts.add("task_moves")
        self._log_decision("run_moved", task.name, run=task.run, agent=view.address)
        self._emit(Send(view.stream, StopRun(task.name, task.run)))

    def handle_run_doomed(self, view: AgentView, message: RunDoomed) -> None:
        """Move a run that can't end before its endpoint leaves.

        It is left to run on if it would be too late elsewhere, or if no agent has free
        capacity: the endpoint may stay for longer than announced. While other tasks
        wait for capacity nothing is moved.
        """
        task = view.tasks.get(message.task)
        if task is None or task.run != message.run or task.job.ending:
            return
        if task.moves >= MAX_MOVES or self._get_waiting(task.job).count:
            return
        accepting = self.fleet.list_accepting_agents(task.job.queue.service)
        others = [each for each in accepting if each is not view]
        views = self._rescues.list_free(task, others, self._now)
        placement = self._choose_agent(task, views)
        if placement is None or placement.parked:
            return
        factor = estimate_run_time_factor(placement.view, task, self._off_rack_factor)
        if not is_worth_rescuing(task, factor, message.seconds_left, self._now):
            return
        task.moves += 1
        self._rescues.add(task, placement.view.address, self._now)
        self._counts.add("doomed_moves")
        self._log_decision("run_rescued", task.name, run=task.run, agent=view.address)
        self._emit(Send(view.stream, StopRun(task.name, task.run)))

    def handle_run_outcome(self, view: AgentView, message: RunOutcome) -> None:
        """Handle the end of a run: complete its task, retry it, or end its job."""
        task = self._find_task(view, message)
        if task is None:
            self._counts.add("outcomes_dropped")
            return
        view.remove_run(task)
        task.agent = ""
        end = RunEnd(message.end)
        self._counts.add("outcomes", end)
        self._update_health(view, task, end, message.elapsed)
        if end in _NOT_STARTED:
            given = -task.core_seconds
            self.loads.record_given(task.job.queue.name, given, self._now)
        if message.checkpoint:
            task.checkpoint = message.checkpoint
        self._resolve_run(task, end, view.address)
        # A task to retry waits again and may go to any agent, so all are tried.
        self.dispatch(view.service, view if end is RunEnd.DONE else None)

    def handle_unsent_start(self, view: AgentView, order: StartRun) -> None:
        """End the job of a start order that can't be sent to any agent."""
        view.take_back_start(Resources(order.cpu, order.memory, order.gpu))
        outcome = RunOutcome(order.task, order.run, RunEnd.INVALID, 0.0, 0.0, "")
        self.handle_run_outcome(view, outcome)

    def _find_task(self, view: AgentView, message: RunOutcome) -> Task | None:
        task = view.tasks.get(message.task)
        if task is None:
            # Reported on a new stream: losing the old one orphaned the run.
            task = self._orphaned.find(message.task, view.address)
        if task is None or task.run != message.run:
            return None
        self._orphaned.remove(task)
        return task

    def _update_health(
        self, view: AgentView, task: Task, end: RunEnd, elapsed: float
    ) -> None:
        if end is RunEnd.DONE:
            view.health.record_success()
            factor = estimate_run_time_factor(view, task, self._off_rack_factor)
            # Only the relative speed counts: what all endpoints have in common is an
            # error of the predictions.
            relative = factor / self.fleet.mean_speed_factor
            self.estimates.observe(task.job.queue.name, elapsed / relative)
        elif end in (RunEnd.FAILED, RunEnd.STALLED, RunEnd.UNHEALTHY):
            ejected = view.health.record_failure(task.job.spec.job, self._now)
            if ejected and not self._policy.ejection:
                view.health.clear()
            elif ejected:
                self._counts.add("ejections")
                self._log_decision(
                    "agent_ejected", task.name, agent=view.address, end=end
                )

    def _resolve_run(self, task: Task, end: RunEnd, agent: str) -> None:
        job = task.job
        if job.ending:
            task.state = TaskState.DONE
            self._remove_if_ended(job)
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
            if end is RunEnd.PREEMPTED:
                self._record_preemption(task, agent)
            elif end not in _NOT_STARTED or end is RunEnd.UNHEALTHY:
                task.avoid.add(agent)
            if end is RunEnd.SUPERSEDED:
                # Another entry ran the task there before with a higher run number,
                # which isn't known here; doubling soon exceeds it.
                task.run *= 2
            self._requeue(task)

    def _record_preemption(self, task: Task, agent: str) -> None:
        task.preempted = True
        self._counts.add("tasks_preempted", queue=task.job.queue.name)
        self._log_decision("run_preempted", task.name, run=task.run, agent=agent)

    def _complete(self, task: Task) -> None:
        job = task.job
        task.state = TaskState.DONE
        job.tasks_left[task.step] -= 1
        if not any(job.tasks_left):
            result = JobResult(job.spec.job, JobEnd.COMPLETED, "", True)
            self._finish(job, result)
            return
        if job.tasks_left[task.step] == 0:
            for ready_task in job.list_ready_tasks():
                self._get_waiting(job).add(ready_task)

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
        if self._is_blocked_by_evacuation(task.job):
            self.give_up(task.job, "evacuated")

    # Loss and return of agents

    def handle_agent_loss(self, view: AgentView) -> None:
        """Mark the runs of an agent whose stream is lost as orphaned."""
        self.fleet.remove(view, self._now)
        for task in list(view.tasks.values()):
            view.remove_run(task)
            self._orphaned.add(task, self._now)

    def reconcile(self, view: AgentView, held_tasks: list[str]) -> None:
        """Match orphaned runs with those that a reconnected agent still has.

        :param held_tasks: names of the tasks that the agent has runs of.
        """
        names = set(held_tasks)
        for task in self._orphaned.list_at(view.address):
            if task.name in names:
                self._orphaned.remove(task)
                task.state = TaskState.SENT
                view.add_run(task, self._now)
            elif view.news is not None and view.news.reconciled:
                self._release_orphan(task)

    def release_orphaned_runs(self, view: AgentView) -> None:
        """Count the orphaned runs at an agent as lost, and retry their tasks.

        Called once all runs that the agent's previous process had started have ended.
        """
        for task in self._orphaned.list_at(view.address):
            self._release_orphan(task)

    def _release_orphan(self, task: Task) -> None:
        self._orphaned.remove(task)
        self._counts.add("limbo_released")
        self._log_decision("run_lost", task.name, run=task.run, agent=task.agent)
        agent = task.agent
        task.agent = ""
        if self.may_run_elsewhere():
            self.give_up(task.job, "cut_off")
        self._resolve_run(task, RunEnd.LOST, agent)

    def _is_too_late(self, job: Job) -> bool:
        if self.admission.is_too_late(job, self._now):
            return True
        # Without any endpoint the job only gets later, while a caller that is
        # answered now can still act.
        late = self._now > job.rank and self._policy.arrival_bound
        return late and not self.fleet.list_accepting_agents(job.queue.service)

    def check_deadlines(self) -> None:
        """Give up expired jobs, retry orphaned runs that have lapsed, and dispatch."""
        for task in self._orphaned.list_lapsed(self._now):
            self._release_orphan(task)
        for job in list(self.jobs.values()):
            if job.ending:
                continue
            if job.deadline <= self._now:
                self.give_up(job, "deadline")
            elif not job.ran and self._is_too_late(job):
                self.give_up(job, "too_late")
        for service in self._waiting:
            self.dispatch(service)


def _has_room(task: Task, views: list[AgentView]) -> bool:
    """Return whether any agent has free capacity for a task, however slow it is."""
    needs = task.step_spec.needs
    return any(needs.fits(view.free) for view in views)
