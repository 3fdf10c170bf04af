"""Breaks one rule at a time in a scratch copy and runs the proof that guards it.

``python -m tests.broken_rules [NAME...]`` exits with status 1 if a proof passes
although its rule is broken. The results are in ``docs/PROOFS.md``.
"""

import concurrent.futures
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
CORE = "src/godwitbank/_internal/core"
PARALLEL = 4


class Break(NamedTuple):
    """One rule, how to break it, and the proof that must notice."""

    name: str
    path: str
    old: str
    new: str
    test: str


FAILURES = "tests/failures"
RUNS = "tests/core/runs"
LEASED = f"{CORE}/runs"
BREAKS = (
    Break(
        "restarted agent vouches for its predecessor",
        f"{CORE}/entry.py",
        "            self._mark_outstanding_unknown(view, "
        + '"the agent was restarted")\n        self._send(',
        "            for sent in [*view.outstanding.values()]:\n"
        "                self.dispatcher._requeue(sent.task)\n        self._send(",
        f"{FAILURES}/test_starts.py::"
        "test_restarted_agent_does_not_vouch_for_its_predecessor",
    ),
    Break(
        "start bound ignored",
        f"{CORE}/agent.py",
        "if self._now > start.start_by:",
        "if False:",
        f"{FAILURES}/test_starts.py::test_stopped_agent_refuses_starts_from_its_buffer",
    ),
    Break(
        "repeated starts trusted",
        f"{CORE}/agent.py",
        "if record is not None and record.state is not RecordState.FENCED:",
        "if False:",
        f"{FAILURES}/test_starts.py::test_repeated_bytes_start_nothing_twice",
    ),
    Break(
        "silence tolerated",
        f"{CORE}/entry.py",
        "if self._now - view.last_received_at > self.timing.silence:",
        "if False:",
        f"{FAILURES}/test_starts.py::test_frozen_link_is_resolved_on_a_new_one",
    ),
    Break(
        "short read taken for an answer",
        "src/godwitbank/_internal/network/endpoint.py",
        "return _end(task, Ending.ENDPOINT_FAILED, detail, began)\n"
        "        if not httpx",
        "return _end(task, Ending.ANSWERED, detail, began)\n        if not httpx",
        f"{FAILURES}/test_jobs.py::test_one_bad_task_fails_the_job_at_once",
    ),
    Break(
        "rest of a failed job goes on",
        f"{CORE}/dispatch.py",
        "        service.drop_waiting(job.tasks)\n",
        "",
        f"{FAILURES}/test_jobs.py::test_one_bad_task_fails_the_job_at_once",
    ),
    Break(
        "late answers joined",
        f"{CORE}/dispatch.py",
        "elif sent.task.key != message.key or sent.task.state is not TaskState.SENT:",
        "elif False:",
        f"{FAILURES}/test_answers.py::"
        "test_answer_that_arrives_after_the_deadline_is_dropped",
    ),
    Break(
        "not run said on a guess",
        f"{CORE}/dispatch.py",
        "ran = Ran.MAY_HAVE_RUN if job.started or has_run else Ran.NOT_RUN",
        "ran = Ran.NOT_RUN",
        f"{FAILURES}/test_refusals.py::test_no_endpoint_and_every_endpoint_lost",
    ),
    Break(
        "claims skipped",
        f"{CORE}/dispatch.py",
        "        if class_table.idempotent:\n            service.queue.add(task)",
        "        if True:\n            service.queue.add(task)",
        f"{FAILURES}/test_requests.py::test_two_entries_at_once_run_it_once",
    ),
    Break(
        "own claim not recognised",
        "src/godwitbank/_internal/operations/entry.py",
        "if row.value == action.claims[key]:",
        "if False:",
        f"{FAILURES}/test_requests.py::test_lost_answer_to_a_claim_that_took_effect",
    ),
    Break(
        "abandoned claim not taken back",
        f"{CORE}/claims.py",
        "key: self._abandoned[key] for key in claims if key in self._abandoned",
        "key: self._abandoned[key] for key in ()",
        "tests/core/test_claims.py",
    ),
    Break(
        "leaving believed at entries only",
        f"{CORE}/agent.py",
        "        if self.leaving:\n            return Refusal.LEAVING\n",
        "",
        f"{FAILURES}/test_leaving.py::test_entry_that_never_hears_can_start_nothing",
    ),
    Break(
        "agent exits with work running",
        f"{CORE}/agent.py",
        "if not self._endpoint_lease.stopping or self.running or self._drained:",
        "if not self._endpoint_lease.stopping or self._drained:",
        f"{FAILURES}/test_leaving.py::test_leaving_takes_nothing_new_and_cuts_nothing",
    ),
    Break(
        "lease never lapses",
        f"{CORE}/endpoint_lease.py",
        "if self.service and self.is_lapsed(now):",
        "if False:",
        f"{FAILURES}/test_leaving.py::test_vanished_endpoint_lapses",
    ),
    Break(
        "entry stops without its delay and its requests",
        "src/godwitbank/_internal/operations/entry.py",
        "await self._drain(http)",
        "self.draining = True",
        f"{FAILURES}/test_stopping.py::test_rolling_restart_cuts_and_refuses_nothing",
    ),
    Break(
        "lower revision accepted",
        f"{CORE}/catalog.py",
        "installed.revision >= revision",
        "installed.revision == revision",
        "tests/core/test_exploration.py::TestExploration",
    ),
    Break(
        "apply doesn't look at what its operator saw",
        "src/godwitbank/_internal/operations/registry.py",
        "if request.expected_revision != current:",
        "if False:",
        f"{FAILURES}/test_configuration.py::test_operators_race_and_one_wins",
    ),
    Break(
        "own write not recognised",
        "src/godwitbank/_internal/operations/registry.py",
        "        if done is not None:",
        "        if False:",
        f"{FAILURES}/test_configuration.py::test_lost_answer_of_an_accepted_write",
    ),
    Break(
        "booting entry asks the table only",
        f"{CORE}/entry.py",
        "        self._has_contact = True\n"
        "        self._install_document("
        "document.service, document.revision, document.text)",
        "        pass",
        f"{FAILURES}/test_configuration.py::test_boot_in_an_outage_learns_from_others",
    ),
    Break(
        "nobody is ejected",
        f"{CORE}/ejection.py",
        "    if rate >= MIN_FAILURE_RATE and rate > PEER_RATE_FACTOR * peer_rate:",
        "    if False:",
        f"{FAILURES}/test_endpoints.py::test_endpoint_that_fails_everything_is_ejected",
    ),
    Break(
        "endpoints judged without their peers",
        f"{CORE}/ejection.py",
        "rate > PEER_RATE_FACTOR * peer_rate",
        "rate > 0",
        f"{FAILURES}/test_endpoints.py::test_task_that_fails_everywhere_ejects_nobody",
    ),
    Break(
        "unanswered orders give up their room",
        f"{LEASED}/runner.py",
        "        run.state = RunState.UNCONFIRMED\n",
        "        run.state = RunState.UNCONFIRMED\n"
        "        self._end_run(run, RunEnd.NOT_STARTED)\n        return\n",
        f"{RUNS}/test_failures.py::test_unanswered_order_keeps_its_capacity_in_use",
    ),
    Break(
        "an older renewal voids an unanswered order",
        f"{LEASED}/runner.py",
        "            return token > run.token\n",
        "            return True\n",
        f"{RUNS}/test_failures.py::test_unconfirmed_order_counts_until_the_endpoint_knows_a_higher_token",
    ),
    Break(
        "restarted agent serves at once",
        f"{LEASED}/endpoint.py",
        "            self.reconciled\n            and self.reporting\n",
        "            self.reporting\n",
        f"{RUNS}/test_failures.py::"
        "test_restarted_agent_stops_runs_of_the_previous_process",
    ),
    Break(
        "runs of a lost entry go on",
        f"{LEASED}/agent.py",
        "            self.runner.stop_runs_of(link.hello.incarnation)",
        "            pass",
        f"{RUNS}/test_failures.py::"
        "test_runs_of_a_dead_entry_are_stopped_before_the_caller_retries",
    ),
    Break(
        "old frames are acted on",
        f"{LEASED}/links.py",
        "if link is None or self._is_timed_out(link, now):",
        "if link is None:",
        f"{RUNS}/test_links.py::test_frames_delayed_by_a_network_cut_are_rejected",
    ),
    Break(
        "a process doesn't notice that it stood still",
        f"{LEASED}/links.py",
        "        return was_paused",
        "        return False",
        f"{RUNS}/test_links.py::test_paused_process_closes_all_streams",
    ),
    Break(
        "orders of any age are carried out",
        f"{LEASED}/runner.py",
        "if self._now - order.sent_at > MAX_ORDER_AGE_SECONDS:",
        "if False:",
        f"{RUNS}/test_partial_mesh.py::test_outdated_start_order_is_ignored",
    ),
    Break(
        "leases are granted however long ago entries lived",
        f"{LEASED}/liveness.py",
        "        return min(last_alive, default=math.inf) + OWNER_LIVENESS_SECONDS",
        "        return math.inf",
        f"{RUNS}/test_takeovers.py::"
        "test_runs_end_with_their_entry_though_their_agent_dies_before_it_stops_them",
    ),
    Break(
        "an entry that wakes up goes on as before",
        f"{LEASED}/entry.py",
        "            self._resume_after_pause()",
        "            pass",
        f"{RUNS}/test_takeovers.py::"
        "test_a_resumed_entry_starts_nothing_before_others_announced_their_jobs",
    ),
    Break(
        "agents without an answer run nothing",
        f"{LEASED}/ownership.py",
        "        return self.last_alive_at + LAPSE_SECONDS",
        "        return self.last_alive_at",
        f"{RUNS}/test_takeovers.py::"
        "test_a_job_of_a_lost_entry_waits_though_no_process_left_knows_it",
    ),
    Break(
        "no home is asked",
        f"{LEASED}/handover.py",
        "            self._acquire(job)\n",
        "            self.start(job)\n",
        f"{RUNS}/test_two_entries.py::"
        "test_a_job_at_two_entries_is_run_once_and_answered_to_both",
    ),
    Break(
        "claims of one moment have no order",
        f"{LEASED}/claims.py",
        "        if claimant is None or now - claimant.at > SIMULTANEOUS_SECONDS:",
        "        if True:",
        f"{RUNS}/test_two_entries.py::"
        "test_agents_that_get_claims_in_another_order_let_one_entry_start_the_job",
    ),
    Break(
        "a home that has just joined decides at once",
        f"{LEASED}/homes.py",
        "        if route != LOCAL_ROUTE or self._is_synced():",
        "        if True:",
        f"{RUNS}/test_two_entries.py::"
        "test_a_home_that_has_just_joined_asks_the_previous_home",
    ),
    Break(
        "a home that ends tells nobody what it decided",
        f"{LEASED}/entry.py",
        "            self.handover.leave()\n",
        "",
        f"{RUNS}/test_two_entries.py::test_a_home_that_stops_announces_its_grants",
    ),
    Break(
        "jobs that wait count as taken",
        f"{LEASED}/handover.py",
        " if each.claim_sent]\n",
        "]\n        owned += self._undecided.values()\n",
        f"{RUNS}/test_two_entries_exploration.py",
    ),
    Break(
        "a release undoes a newer grant",
        f"{LEASED}/homes.py",
        "exact = grant.request_number == request_number or not grant.request_number",
        "exact = True",
        f"{RUNS}/test_homes.py",
    ),
    Break(
        "nobody is asked for a lost entry",
        f"{LEASED}/handover.py",
        "            self.reachability.probe(link.hello.address, owner)",
        "            pass",
        f"{RUNS}/test_partial_mesh.py::test_job_moves_between_two_entries_that_cannot_reach_each_other",
    ),
    Break(
        "what a cut-off entry takes isn't passed on",
        f"{LEASED}/reachability.py",
        "            self._send(stream, Took(message.jobs, message.ages, owner))",
        "            pass",
        f"{RUNS}/test_partial_mesh.py::test_job_moves_between_two_entries_that_cannot_reach_each_other",
    ),
    Break(
        "streams move with runs on them",
        f"{LEASED}/moves.py",
        "            idle = link.hello.incarnation not in owners",
        "            idle = True",
        f"{RUNS}/test_partial_mesh.py::test_moving_a_stream_interrupts_no_run",
    ),
    Break(
        "runs out of reach are started elsewhere at once",
        f"{LEASED}/dispatcher.py",
        "            task.lapses_at = self._now + LAPSE_SECONDS",
        "            task.lapses_at = self._now",
        f"{RUNS}/test_failures.py::"
        "test_runs_of_an_agent_cut_off_from_its_entry_are_placed_elsewhere",
    ),
    Break(
        "nobody is told what was taken",
        f"{LEASED}/ownership_announcements.py",
        '            self._emit(Send(link.stream, Took([name], [0.0], "")))',
        "            pass",
        f"{RUNS}/test_partial_mesh.py::"
        "test_owner_of_a_job_is_known_after_the_loss_of_its_home",
    ),
    Break(
        "late peers are not told what was taken",
        f"{LEASED}/handover.py",
        "        self._announcements.announce_all"
        "(link.stream, self._list_owned(), self._now)",
        "        pass",
        f"{RUNS}/test_partial_mesh.py::"
        "test_owner_of_a_job_is_known_after_the_loss_of_its_home",
    ),
    Break(
        "no claims while a peer is missing",
        f"{LEASED}/ownership.py",
        "        return bool(self._lost)",
        "        return False",
        f"{RUNS}/test_failures.py::"
        "test_job_of_an_entry_that_is_cut_off_is_claimed_at_the_agents",
    ),
    Break(
        "an endpoint without an answer keeps its lease",
        f"{LEASED}/endpoint.py",
        "            not self._may_have_unknown_runs\n"
        "            and self._unanswered < MAX_UNANSWERED_RENEWALS\n",
        "            not self._may_have_unknown_runs\n",
        f"{RUNS}/test_failures.py::"
        "test_runs_of_an_unreachable_endpoint_are_placed_elsewhere_after_its_lease",
    ),
    Break(
        "draining endpoints get what waits",
        f"{LEASED}/endpoint.py",
        "        return bool(self.instance) and ready and not self.draining",
        "        return bool(self.instance) and ready",
        f"{RUNS}/test_failures.py::"
        "test_draining_endpoint_gets_no_new_runs_and_finishes_its_own",
    ),
    Break(
        "older configurations are installed",
        f"{LEASED}/routes.py",
        "if self.configuration and configuration.version <= self.version:",
        "if False:",
        f"{RUNS}/test_entry.py::test_older_configuration_is_never_installed",
    ),
    Break(
        "a stopping entry takes all that comes",
        f"{LEASED}/dispatcher.py",
        "if self._now + job.objective > self.shutdown_at:",
        "if False:",
        f"{RUNS}/test_entry.py::test_stopping_entry_refuses_jobs_that_it_cannot_finish",
    ),
    Break(
        "failing endpoints stay in rotation",
        f"{LEASED}/health.py",
        "        if now < self.ejected_until:\n            return False\n"
        "        return not self.probing",
        "        return True\n        return not self.probing",
        f"{RUNS}/test_failures.py::test_endpoint_that_fails_every_task_is_avoided",
    ),
    Break(
        "one hopeless job ejects endpoints",
        f"{LEASED}/health.py",
        "EJECTION_FAILURE_SHARE = 0.6",
        "EJECTION_FAILURE_SHARE = 0.2",
        f"{RUNS}/test_failures.py::test_job_that_always_fails_ejects_no_endpoint",
    ),
    Break(
        "takings of lost entries are not passed on",
        f"{LEASED}/handover.py",
        "        self._announcements.announce_unreachable_owners(\n"
        "            link.stream, self._ownership, self._now\n        )\n",
        "",
        f"{RUNS}/test_failures.py::"
        "test_entry_that_restarts_immediately_knows_its_earlier_jobs",
    ),
    Break(
        "a run waits for room that is gone",
        f"{LEASED}/runner.py",
        "if not order.may_park and not self._has_free_capacity(run):",
        "if False:",
        f"{RUNS}/test_failures.py::"
        "test_two_entries_that_choose_one_endpoint_both_start_immediately",
    ),
    Break(
        "slow runs stay where they are",
        f"{LEASED}/dispatcher.py",
        "        if task.moves >= MAX_MOVES or",
        "        if True or",
        f"{RUNS}/test_failures.py::"
        "test_runs_of_an_endpoint_that_became_slow_move_to_free_capacity",
    ),
    Break(
        "late work keeps its place",
        f"{LEASED}/waiting.py",
        "            if queued.rank >= now or not self._late_last:",
        "            if True:",
        f"{RUNS}/test_waiting.py::test_late_tasks_are_queued_behind_timely_ones",
    ),
    Break(
        "no process is ever behind",
        f"{CORE}/pressure.py",
        "self.overloaded = self._measure_sustained_lag() >= limit",
        "self.overloaded = False",
        f"{RUNS}/test_behind.py::"
        "test_callers_are_refused_at_once_while_no_entry_has_processor_time",
    ),
    Break(
        "late entries keep all jobs",
        f"{LEASED}/forwarding.py",
        "if self._pressure.lag < FORWARD_LAG_SECONDS:",
        "if True:",
        f"{RUNS}/test_behind.py::"
        "test_jobs_are_forwarded_to_entries_with_spare_processor_time",
    ),
    Break(
        "late agents get as much work",
        f"{LEASED}/placement.py",
        "        factor += view.lag / max(task.expected, MIN_TASK_SECONDS)\n",
        "",
        f"{RUNS}/test_behind.py::test_agents_without_processor_time_get_less_work",
    ),
    Break(
        "full agents are looked at",
        f"{LEASED}/placement.py",
        "        if not with_capacity:\n            return None\n",
        "        if not with_capacity:\n"
        "            return self._choose_by_speed(views, task)\n",
        f"{RUNS}/test_placement.py::test_a_job_costs_no_more_while_tasks_wait_for_room",
    ),
    Break(
        "jobs handed on outlive their stream",
        f"{LEASED}/intake.py",
        "        for disconnected in self._remote_callers.drop_stream(stream):\n"
        "            self.handle_caller_loss(disconnected)\n",
        "",
        f"{RUNS}/test_forwarding.py::test_runs_end_when_the_forwarding_entry_is_lost",
    ),
    Break(
        "jobs handed on are not withdrawn",
        f"{LEASED}/forwarding.py",
        "            self._emit(Send(forwarded.stream, Withdraw(job)))\n",
        "",
        f"{RUNS}/test_forwarding.py::"
        "test_forwarded_job_is_given_up_when_its_caller_disconnects",
    ),
    Break(
        "callers wait for an entry that is lost",
        f"{LEASED}/forwarding.py",
        '                self._give_up(job, "cut_off")',
        "                pass",
        f"{RUNS}/test_forwarding.py::"
        "test_callers_are_answered_when_the_serving_entry_is_lost",
    ),
    Break(
        "evacuated zones are known and used",
        f"{LEASED}/evacuations.py",
        "return zone in self._newest.zones",
        "return False",
        f"{RUNS}/test_evacuation.py::"
        "test_agent_refuses_orders_of_an_entry_with_outdated_state",
    ),
    Break(
        "an older evacuation undoes a newer",
        f"{LEASED}/evacuations.py",
        "if evacuation.revision <= self._newest.revision:",
        "if False:",
        f"{RUNS}/test_evacuation.py::test_older_evacuation_never_replaces_a_newer_one",
    ),
    Break(
        "entries place in evacuated zones, and agents take it",
        f"{LEASED}/runner.py",
        "        self.evacuated = evacuated\n",
        "",
        f"{RUNS}/test_evacuation.py::"
        "test_agent_refuses_orders_of_an_entry_with_outdated_state",
    ),
    Break(
        "nobody hears of evacuated zones",
        f"{LEASED}/evacuations.py",
        "        self._newest = evacuation\n",
        "",
        f"{RUNS}/test_evacuation_exploration.py::"
        "test_no_run_starts_late_in_an_evacuated_zone_under_random_faults",
    ),
    Break(
        "new streams are not told what is evacuated",
        f"{LEASED}/entry.py",
        "        # Sent first: a configuration makes the other entry place runs.\n"
        "        self._send_evacuation(event.stream)\n",
        "",
        f"{RUNS}/test_evacuation.py::"
        "test_new_entries_and_agents_know_an_evacuation_before_the_first_order",
    ),
    Break(
        "looks at the store wait for as long as they may",
        f"{LEASED}/poll_limits.py",
        "            change_timeout * WAIT_SHARE,\n",
        "            20.0,\n",
        "tests/platform/test_watch.py",
    ),
    Break(
        "idle connections outlive a call that got no answer",
        "src/godwitbank/_internal/network/http_client.py",
        "        if self._heard_at <= quiet_since:\n",
        "        if self._heard_at > quiet_since:\n",
        "tests/network/test_http_client.py",
    ),
    Break(
        "agents probe no stream when another falls silent",
        f"{LEASED}/agent.py",
        "self.links.start_probes(self._now)",
        "()",
        f"{RUNS}/test_silent_streams.py",
    ),
    Break(
        "work is sent on streams in doubt",
        f"{LEASED}/links.py",
        "            self.is_probe_pending\n            or now",
        "            now",
        f"{RUNS}/test_silent_streams.py",
    ),
)


def run(broken: Break) -> tuple[Break, int, str]:
    """Run a proof against a copy with its rule broken."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "copy"
        skipped = shutil.ignore_patterns(
            ".venv", ".git", "run", "__pycache__", "target", "journal"
        )
        shutil.copytree(ROOT, copy, ignore=skipped)
        source = copy / broken.path
        text = source.read_text()
        if broken.old not in text:
            return broken, -1, "the text to replace is gone"
        source.write_text(text.replace(broken.old, broken.new))
        environment = {**os.environ, "PYTHONPATH": str(copy / "src")}
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", broken.test],
            cwd=copy,
            env=environment,
            capture_output=True,
            text=True,
        )
        lines = [line for line in done.stdout.splitlines() if line.startswith("E  ")]
        return broken, done.returncode, lines[0][4:].strip() if lines else ""


def main() -> int:
    """Run all breaks, or those named."""
    chosen = [each for each in BREAKS if not sys.argv[1:] or each.name in sys.argv[1:]]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL) as pool:
        for broken, status, line in pool.map(run, chosen):
            noticed = status == 1
            missed += not noticed
            word = "noticed" if noticed else f"NOT NOTICED (status {status})"
            print(f"{broken.name}: {word}: {line[:110]}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
