"""Run the operator's command as ``python -m godwitbank``."""

from godwitbank._internal.cli.entrypoints import run_operator

if __name__ == "__main__":
    run_operator()
