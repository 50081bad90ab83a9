"""Measures roll-outs in virtual time over kinds of revisions and seeds."""

import argparse
import multiprocessing
import statistics

from pomelobank_testing.rollouts import REVISIONS, RULES, Outcome, RolloutModel

_PROCESSES = 4


def main(arguments: list[str]) -> int:
    """Prints one line for each kind of revision; returns 0."""
    parser = argparse.ArgumentParser(prog="rollout", description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--rule", choices=sorted(RULES), default="sequential")
    parser.add_argument("--entries", type=int, default=62)
    parser.add_argument("--rate", type=float, default=244.0)
    parser.add_argument("--kinds", nargs="*", default=list(REVISIONS))
    parser.add_argument("--by-owner", action="store_true")
    options = parser.parse_args(arguments)
    with multiprocessing.Pool(_PROCESSES) as pool:
        for kind in options.kinds:
            models = [
                RolloutModel(
                    seed,
                    kind,
                    options.rule,
                    options.entries,
                    options.rate,
                    by_owner=options.by_owner,
                )
                for seed in range(options.seeds)
            ]
            print(_describe(kind, pool.map(_run, models, chunksize=5)))
    return 0


def _run(model: RolloutModel) -> Outcome:
    return model.run()


def _describe(kind: str, outcomes: list[Outcome]) -> str:
    verdicts = [o for o in outcomes if o.verdict_ms is not None]
    exposed = max(o.exposed / o.total for o in outcomes)
    line = (
        f"{kind:18} verdicts {len(verdicts):3} of {len(outcomes)},"
        f" share at most {exposed:.3f},"
        f" excess {max(o.excess for o in outcomes):6.0f},"
        f" late {sum(o.late > 0 for o in outcomes)}"
    )
    if verdicts and REVISIONS[kind].is_bad:
        times_ms = sorted(o.verdict_ms or 0.0 for o in verdicts)
        line += (
            f", verdict after {statistics.median(times_ms) / 1000:.1f} s"
            f" ({times_ms[-1] / 1000:.1f} at most),"
            f" bad answers {statistics.median(o.bad for o in verdicts):.0f}"
            f" ({max(o.bad for o in verdicts)} at most)"
        )
    return line
