"""Case 5: a restarted agent uses room that its endpoint has no more."""

import signal
import time

from review.lib_2.fleet import Caller, Fleet, Record, has_trouble, make_body, play

AGENTS = 4
ENTRIES = 2
SHRUNK_AGENTS = 2
SHRUNK_CPU = 1000
TASK_CPU = 1000
TASK_SECONDS = 1.2
TASKS = 3
JOB_INTERVAL_SECONDS = 0.25
SHRUNK_COUNTS_AFTER_SECONDS = 3.0 + 1.5
"""``contact-ms`` and one beat, after which a room that has shrunk counts."""

ROLLS = 3
ROLL_INTERVAL_SECONDS = 8.0
RESTART_DELAY_SECONDS = 0.3
GRACE_SECONDS = 6.0


def restart(fleet: Fleet, record: Record, agent: str) -> None:
    """Stop an agent with SIGTERM, and start it again once it has ended."""
    process = fleet.processes[agent]
    record.write(f"SIGTERM to {agent}")
    fleet.kill(agent, signal.SIGTERM)
    process.wait(GRACE_SECONDS)
    record.write(f"{agent} has ended")
    time.sleep(RESTART_DELAY_SECONDS)
    fleet.start_agent(agent)
    record.write(f"{agent} was started again")


def write_overloads(fleet: Fleet, record: Record, counts_from: float) -> int:
    """Write the starts that brought a shrunk endpoint over its room."""
    overloads = 0
    for number in range(SHRUNK_AGENTS):
        agent = f"agent-{number}"
        for line in fleet.read_log(f"{agent}-endpoint"):
            if line["event"] != "began" or line["at"] < counts_from:
                continue
            used = line["alive"] * TASK_CPU
            if used > SHRUNK_CPU:
                overloads += 1
                record.write(
                    f"LIMIT: the start of {line['task']} run {line['run']} brought the "
                    f"endpoint of {agent} to {used} of {SHRUNK_CPU} thousandths",
                    line["at"],
                )
    return overloads


def case(fleet: Fleet, record: Record) -> bool:
    """Shrink two endpoints, and stop and start their agents in turn under load."""
    fleet.start(ENTRIES, AGENTS)
    for number in range(SHRUNK_AGENTS):
        fleet.set_capacity(f"agent-{number}", SHRUNK_CPU)
        record.write(f"the room of agent-{number}'s endpoint shrinks to {SHRUNK_CPU}")
    counts_from = time.monotonic() + SHRUNK_COUNTS_AFTER_SECONDS
    rolls = [
        counts_from + 1.0 + number * ROLL_INTERVAL_SECONDS / SHRUNK_AGENTS
        for number in range(ROLLS * SHRUNK_AGENTS)
    ]
    until = rolls[-1] + ROLL_INTERVAL_SECONDS
    callers = []
    rolled = 0
    while time.monotonic() < until:
        if has_trouble() and rolls and time.monotonic() >= rolls[0]:
            rolls.pop(0)
            restart(fleet, record, f"agent-{rolled % SHRUNK_AGENTS}")
            rolled += 1
        number = len(callers)
        entry = f"entry-{number % ENTRIES}"
        caller = Caller(fleet, record, entry, f"{number + 1:016x}")
        caller.body = make_body(TASKS, TASK_SECONDS)
        caller.start()
        callers.append(caller)
        time.sleep(JOB_INTERVAL_SECONDS)
    for caller in callers:
        caller.join(15)
    record.write_runs(fleet.list_runs(AGENTS))
    served = sum(caller.status == 200 for caller in callers)
    record.write(f"{served} of {len(callers)} jobs completed")
    return not write_overloads(fleet, record, counts_from)


if __name__ == "__main__":
    play(case)
