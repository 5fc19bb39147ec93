"""The deployed router under the profiler; ``CHIVETRACK_PROFILE`` names the file it writes."""

import cProfile
import os

PROFILER = cProfile.Profile()


def main() -> None:
    """Run the router until it is stopped, then write the profile."""
    from chivetrack.daemon.fleet import __main__ as program

    exit_process = os._exit

    def write_profile(code: int) -> None:
        PROFILER.dump_stats(os.environ["CHIVETRACK_PROFILE"])
        exit_process(code)

    program.os._exit = write_profile  # type: ignore[assignment]
    PROFILER.enable()
    program.main()


if __name__ == "__main__":
    main()
