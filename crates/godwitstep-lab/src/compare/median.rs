//! Medians of the measures of several runs.

use super::measure::Measures;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the median of each measure over the runs.
pub(super) fn median_measures(runs: &[Measures]) -> Measures {
    let each = |value: fn(&Measures) -> f64| median(runs.iter().map(value).collect());
    Measures {
        completion_p50_s: each(|run| run.completion_p50_s),
        completion_p99_s: each(|run| run.completion_p99_s),
        urgent_on_time: each(|run| run.urgent_on_time),
        urgent_start_p99_s: each(|run| run.urgent_start_p99_s),
        large_wait_p99_s: each(|run| run.large_wait_p99_s),
        fragmentation: each(|run| run.fragmentation),
        utilisation: each(|run| run.utilisation),
        reclaim_p99_s: each(|run| run.reclaim_p99_s),
        work_during_departure: each(|run| run.work_during_departure),
        refused: each(|run| run.refused),
        lost: each(|run| run.lost),
        run_twice: each(|run| run.run_twice),
        kind_completion_p50_s: medians_by_kind(runs, |run| &run.kind_completion_p50_s),
        kind_completion_p99_s: medians_by_kind(runs, |run| &run.kind_completion_p99_s),
    }
}

fn medians_by_kind(
    runs: &[Measures],
    value: fn(&Measures) -> &BTreeMap<String, f64>,
) -> BTreeMap<String, f64> {
    let kinds: BTreeSet<&String> = runs.iter().flat_map(|run| value(run).keys()).collect();
    let medians = kinds.into_iter().map(|kind| {
        let values = runs.iter().filter_map(|run| value(run).get(kind).copied());
        (kind.clone(), median(values.collect()))
    });
    medians.collect()
}

/// Returns the median of the values that are not NaN, rounded to three decimals.
fn median(mut values: Vec<f64>) -> f64 {
    values.retain(|value| !value.is_nan());
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    let median = match (values.len() % 2, values.get(middle)) {
        (_, None) => f64::NAN,
        (1, Some(value)) => *value,
        (_, Some(value)) => f64::midpoint(values[middle - 1], *value),
    };
    (median * 1e3).round() / 1e3
}
