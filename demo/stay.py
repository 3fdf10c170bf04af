"""Start a small deployment, print its address and run until interrupted."""

import signal
import sys
from pathlib import Path

from standins.fleet import Fleet

HERE = Path(__file__).parent


def main() -> None:
    """Start one entry and two agents of the ``desk`` service, and wait for a signal."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    fleet = Fleet(Path("run/stay"))
    try:
        entry = fleet.start_entry(wait=False)
        fleet.update_balancer()
        fleet.wait_ready(entry)
        fleet.run_operator_command("apply", str(HERE / "desk.toml"))
        for _ in range(2):
            fleet.start_endpoint(fleet.start_agent())
        fleet.wait_for_agents(2)
        print(f"entry: 127.0.0.1:{entry.http_port}; stop with Ctrl-C", flush=True)
        signal.pause()
    except KeyboardInterrupt:
        print("stopping")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
