//! Computes the measures that `docs/measurements.md` defines from a simulated run.

use crate::world::{Job, World};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Phase, Priority};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Least number of accelerators of a large job.
const LARGE_JOB_ACCELERATORS: u32 = 16;

/// Measures of one policy. A measure that a run has no instance of is NaN, which is `null` in JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Median time from acceptance to the phase `done`. Unit: seconds.
    pub completion_p50_s: f64,
    /// 99th percentile of the time from acceptance to the phase `done`. Unit: seconds.
    pub completion_p99_s: f64,
    /// Share of urgent jobs that were done before their deadline.
    pub urgent_on_time: f64,
    /// 99th percentile of the time from acceptance of an urgent job until its gang is settled.
    /// Unit: seconds.
    pub urgent_start_p99_s: f64,
    /// 99th percentile of the time from acceptance to the start of large jobs. Unit: seconds.
    pub large_wait_p99_s: f64,
    /// Mean share of free accelerators that are not on entirely free workers.
    pub fragmentation: f64,
    /// Accelerator time of counted work, divided by accelerator time in service. Work counts if its
    /// run completed or, when it was stopped, the state of all its parts was saved.
    pub utilisation: f64,
    /// 99th percentile of the time from acceptance to start of jobs that are within a guarantee when
    /// they are submitted. Unit: seconds.
    pub reclaim_p99_s: f64,
    /// The same quotient as `utilisation`, while a failure domain is out of service.
    pub work_during_departure: f64,
    /// Number of jobs that were refused because they can never run.
    pub refused: f64,
    /// Number of jobs without a final phase at the end of the simulation.
    pub lost: f64,
    /// Number of jobs that are not idempotent but of which two runs took effect.
    pub run_twice: f64,
    /// Median completion time of each kind. Unit: seconds.
    pub kind_completion_p50_s: BTreeMap<String, f64>,
    /// 99th percentile of the completion time of each kind. Unit: seconds.
    pub kind_completion_p99_s: BTreeMap<String, f64>,
}

/// Values that are collected during a run.
#[derive(Debug, Clone, Default)]
pub(super) struct Samples {
    pub fragmentation: Vec<f64>,
    /// Accelerator-seconds in service.
    pub capacity: f64,
    /// Accelerator-seconds in service while a failure domain is out of service.
    pub capacity_during_departure: f64,
    /// Numbers of the jobs that were within their workspace's guarantee when they were submitted.
    pub guaranteed: Vec<usize>,
    /// Start and end of each time in which a failure domain is out of service.
    pub departures: Vec<(Duration, Duration)>,
}

/// Computes the measures of a finished run. `window` is the start and the end of the time in which
/// jobs arrive.
pub(super) fn compute(world: &World, samples: &Samples, window: (Duration, Duration)) -> Measures {
    let urgent: Vec<&Job> = world
        .jobs
        .iter()
        .filter(|job| job.cancelled.is_none() && priority(world, job) == Priority::Urgent)
        .collect();
    let on_time = urgent.iter().filter(|job| on_time(job)).count();
    let large = world.jobs.iter();
    let large = large.filter(|job| job.spec.shape.accelerators() >= LARGE_JOB_ACCELERATORS);
    let mut by_kind: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for job in &world.jobs {
        if let Some(time) = completion_time(job) {
            let kind = job.spec.kind.to_string();
            by_kind.entry(kind).or_default().push(time);
        }
    }
    let all: Vec<f64> = by_kind.values().flatten().copied().collect();
    // A job that never started has waited until the end of the simulation.
    let wait_time = |job: &Job, start: Option<Duration>| {
        let start = start.unwrap_or(world.now);
        start.saturating_sub(job.accepted).as_secs_f64()
    };
    let urgent_waits = urgent.iter().map(|job| wait_time(job, job.first_settled()));
    let guaranteed = samples.guaranteed.iter().map(|number| &world.jobs[*number]);
    let percentile_by_kind = |percent| {
        let kinds = by_kind.iter();
        kinds
            .map(|(kind, times)| (kind.clone(), percentile(times.clone(), percent)))
            .collect()
    };
    let departures = samples.departures.iter();
    let work_during_departure: f64 = departures.map(|span| counted_work(world, *span)).sum();
    Measures {
        completion_p50_s: percentile(all.clone(), 50.0),
        completion_p99_s: percentile(all, 99.0),
        urgent_on_time: ratio(to_f64(on_time), to_f64(urgent.len())),
        urgent_start_p99_s: percentile(urgent_waits.collect(), 99.0),
        large_wait_p99_s: percentile(
            large.map(|job| wait_time(job, job.first_start())).collect(),
            99.0,
        ),
        fragmentation: ratio(
            samples.fragmentation.iter().sum(),
            to_f64(samples.fragmentation.len()),
        ),
        utilisation: ratio(counted_work(world, window), samples.capacity),
        reclaim_p99_s: percentile(
            guaranteed
                .map(|job| wait_time(job, job.first_start()))
                .collect(),
            99.0,
        ),
        work_during_departure: ratio(work_during_departure, samples.capacity_during_departure),
        refused: to_f64(world.jobs.iter().filter(|job| refused(job)).count()),
        lost: to_f64(world.load()),
        run_twice: to_f64(world.jobs.iter().filter(|job| run_twice(job)).count()),
        kind_completion_p50_s: percentile_by_kind(50.0),
        kind_completion_p99_s: percentile_by_kind(99.0),
    }
}

fn priority(world: &World, job: &Job) -> Priority {
    let workspace = world.workspaces.get(&job.spec.workspace);
    let kind = workspace.and_then(|workspace| workspace.kind(&job.spec.kind));
    kind.map_or(Priority::Normal, |kind| kind.priority)
}

/// Returns the seconds from a job's acceptance to the phase `done`.
fn completion_time(job: &Job) -> Option<f64> {
    let ended = job.ended.filter(|_| job.phase == Phase::Done)?;
    Some(ended.saturating_sub(job.accepted).as_secs_f64())
}

fn on_time(job: &Job) -> bool {
    // A deadline is a few seconds to hours, far below the 2^52 s up to which a float is exact.
    #[allow(clippy::cast_precision_loss)]
    let limit = job
        .spec
        .deadline_s
        .map_or(f64::INFINITY, |limit| limit as f64);
    completion_time(job).is_some_and(|time| time <= limit)
}

fn refused(job: &Job) -> bool {
    matches!(job.reason, Reason::CanNeverRun { .. })
}

/// Reports whether two runs of a job that is not idempotent took effect: both completed or, if the
/// job can't be continued from a checkpoint either, both started.
fn run_twice(job: &Job) -> bool {
    let started = job.runs.iter().filter(|run| run.started > 0).count();
    let is_complete = |run: &&crate::world::Seen| run.done > 0 && run.done >= run.parts;
    let completed = job.runs.iter().filter(is_complete).count();
    !job.spec.idempotent && (completed > 1 || (started > 1 && !job.repeatable()))
}

/// Returns the accelerator-seconds of counted work within a span.
fn counted_work(world: &World, (from, to): (Duration, Duration)) -> f64 {
    let spans = world.jobs.iter().flat_map(|job| &job.spans);
    let counted = spans.filter(|span| span.counts).map(|span| {
        let time = span.end.min(to).saturating_sub(span.start.max(from));
        time.as_secs_f64() * f64::from(span.accelerators)
    });
    counted.sum()
}

fn percentile(mut values: Vec<f64>, percent: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    // The product is between 0 and the number of values.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rank = (to_f64(values.len()) * percent / 100.0).ceil() as usize;
    values.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { f64::NAN }
}

/// Converts a count, which is far below the 2^52 up to which a float is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
