"""Alternates rounds of variants and reports the ratios of their results with the spread."""

import json
import statistics
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from ..load import Summary

QUANTILES = ("p50", "p99", "p999")


@dataclass(frozen=True, slots=True)
class Round:
    """Results of one variant in one round."""

    variant: str
    number: int
    summary: Summary


@dataclass(frozen=True, slots=True)
class Ratio:
    """Quantile of one variant divided by that of a baseline, summarised over the rounds."""

    baseline: str
    quantile: str
    median: float
    low: float
    high: float


def alternate_variants(
    variants: Sequence[str], rounds: int, measure: Callable[[str, int], Summary]
) -> Iterator[Round]:
    """Yield one result of each variant in each round; the order rotates between rounds."""
    for number in range(rounds):
        for variant_index in range(len(variants)):
            variant = variants[(variant_index + number) % len(variants)]
            yield Round(variant, number, measure(variant, number))


def compute_ratios(
    rounds: Sequence[Round], variant: str, baselines: Sequence[str]
) -> Iterator[Ratio]:
    """Yield the ratios of a variant to each baseline, paired by round."""
    by_key = {(row.variant, row.number): row.summary for row in rounds}
    numbers = sorted({row.number for row in rounds})
    for baseline in baselines:
        for quantile in QUANTILES:
            values = [
                getattr(by_key[variant, n], quantile) / getattr(by_key[baseline, n], quantile)
                for n in numbers
            ]
            yield Ratio(baseline, quantile, statistics.median(values), min(values), max(values))


def report(name: str, parameters: dict[str, object], rounds: Sequence[Round], variant: str) -> None:
    """Print the results and ratios and write them as JSON to the build/ directory."""
    baselines = sorted({row.variant for row in rounds} - {variant})
    for row in rounds:
        s = row.summary
        print(
            f"{name} round={row.number} variant={row.variant} calls={s.calls} ran={s.ran} "
            f"not_run={s.not_run} unknown={s.unknown} "
            f"p50={s.p50:.1f} p99={s.p99:.1f} p999={s.p999:.1f}"
        )
    found = list(compute_ratios(rounds, variant, baselines))
    for ratio in found:
        print(
            f"{name} {variant}/{ratio.baseline} {ratio.quantile} "
            f"median={ratio.median:.2f} low={ratio.low:.2f} high={ratio.high:.2f}"
        )
    path = Path("build") / f"{name}.json"
    path.parent.mkdir(exist_ok=True)
    data = {
        **parameters,
        "rounds": [asdict(r) for r in rounds],
        "ratios": [asdict(r) for r in found],
    }
    path.write_text(json.dumps(data, indent=1), encoding="utf-8")
