//! The measures of `docs/measurements.md`, taken from a run.

use crate::world::{Job, World};
use godwitstep_core::Reason;
use godwitstep_core::resource::{Phase, Priority};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Accelerators from which a job counts as large.
const LARGE: u32 = 16;

/// Measures of one policy. One of which a run has no instance is not a number, `null` in JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Median time from acceptance to the phase `done`. Unit: seconds.
    pub completion_p50_s: f64,
    /// 99th percentile of the same. Unit: seconds.
    pub completion_p99_s: f64,
    /// Share of urgent jobs that were done before their deadline.
    pub urgent_on_time: f64,
    /// 99th percentile of the time from acceptance of an urgent job to the settling of its gang.
    pub urgent_start_p99_s: f64,
    /// 99th percentile of the time from acceptance to the start of large jobs.
    pub large_wait_p99_s: f64,
    /// Mean share of free accelerators that are not on whole free workers.
    pub fragmentation: f64,
    /// Counted work by accelerator time in service.
    pub utilisation: f64,
    /// 99th percentile of the time from acceptance to start within a guarantee.
    pub reclaim_p99_s: f64,
    /// Counted work by accelerator time in service while a failure domain is out.
    pub work_during_departure: f64,
    /// Jobs that were refused.
    pub refused: f64,
    /// Jobs without a final phase at the end.
    pub lost: f64,
    /// Jobs that are not idempotent of which two runs took effect.
    pub run_twice: f64,
    /// Median completion time of each kind. Unit: seconds.
    pub kind_completion_p50_s: BTreeMap<String, f64>,
    /// 99th percentile of the completion time of each kind. Unit: seconds.
    pub kind_completion_p99_s: BTreeMap<String, f64>,
}

/// What was sampled while a run went on. Times count accelerators.
#[derive(Debug, Clone, Default)]
pub(super) struct Samples {
    pub fragmentation: Vec<f64>,
    /// Accelerator-seconds in service, in all and while a domain is out.
    pub capacity: f64,
    pub capacity_out: f64,
    /// Jobs that were within their workspace's guarantee when they were submitted.
    pub guaranteed: Vec<usize>,
    /// Spans in which a domain is out.
    pub out: Vec<(Duration, Duration)>,
}

/// Takes the measures of a run that is over.
pub(super) fn measure(world: &World, samples: &Samples, window: (Duration, Duration)) -> Measures {
    let urgent: Vec<&Job> = world
        .jobs
        .iter()
        .filter(|job| job.cancelled.is_none() && priority(world, job) == Priority::Urgent)
        .collect();
    let on_time = urgent.iter().filter(|job| on_time(job)).count();
    let large = world.jobs.iter();
    let large = large.filter(|job| job.spec.shape.accelerators() >= LARGE);
    let mut by_kind: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for job in &world.jobs {
        if let Some(time) = completion(job) {
            let kind = job.spec.kind.to_string();
            by_kind.entry(kind).or_default().push(time);
        }
    }
    let all: Vec<f64> = by_kind.values().flatten().copied().collect();
    let wait = |job: &Job, at: Option<Duration>| {
        let at = at.unwrap_or(world.now);
        at.saturating_sub(job.accepted).as_secs_f64()
    };
    let starts = urgent.iter().map(|job| wait(job, job.first_settled()));
    let guaranteed = samples.guaranteed.iter().map(|number| &world.jobs[*number]);
    let of_kinds = |percent| {
        let kinds = by_kind.iter();
        kinds
            .map(|(kind, times)| (kind.clone(), percentile(times.clone(), percent)))
            .collect()
    };
    let out_work: f64 = samples.out.iter().map(|span| work(world, *span)).sum();
    Measures {
        completion_p50_s: percentile(all.clone(), 50.0),
        completion_p99_s: percentile(all, 99.0),
        urgent_on_time: ratio(count(on_time), count(urgent.len())),
        urgent_start_p99_s: percentile(starts.collect(), 99.0),
        large_wait_p99_s: percentile(
            large.map(|job| wait(job, job.first_start())).collect(),
            99.0,
        ),
        fragmentation: ratio(
            samples.fragmentation.iter().sum(),
            count(samples.fragmentation.len()),
        ),
        utilisation: ratio(work(world, window), samples.capacity),
        reclaim_p99_s: percentile(
            guaranteed.map(|job| wait(job, job.first_start())).collect(),
            99.0,
        ),
        work_during_departure: ratio(out_work, samples.capacity_out),
        refused: count(world.jobs.iter().filter(|job| refused(job)).count()),
        lost: count(world.load()),
        run_twice: count(world.jobs.iter().filter(|job| run_twice(job)).count()),
        kind_completion_p50_s: of_kinds(50.0),
        kind_completion_p99_s: of_kinds(99.0),
    }
}

fn priority(world: &World, job: &Job) -> Priority {
    let workspace = world.workspaces.get(&job.spec.workspace);
    let kind = workspace.and_then(|workspace| workspace.kind(&job.spec.kind));
    kind.map_or(Priority::Normal, |kind| kind.priority)
}

fn completion(job: &Job) -> Option<f64> {
    let ended = job.ended.filter(|_| job.phase == Phase::Done)?;
    Some(ended.saturating_sub(job.accepted).as_secs_f64())
}

fn on_time(job: &Job) -> bool {
    // A deadline is a few seconds to hours, which a float holds without loss.
    #[allow(clippy::cast_precision_loss)]
    let limit = job
        .spec
        .deadline_s
        .map_or(f64::INFINITY, |limit| limit as f64);
    completion(job).is_some_and(|time| time <= limit)
}

fn refused(job: &Job) -> bool {
    matches!(job.reason, Reason::CanNeverRun { .. })
}

/// Reports whether two runs of a job that must not be repeated took effect: they both completed,
/// or both started if the job can't be continued either.
fn run_twice(job: &Job) -> bool {
    let started = job.runs.iter().filter(|seen| seen.started > 0).count();
    let whole = |seen: &&crate::world::Seen| seen.done > 0 && seen.done >= seen.parts;
    let completed = job.runs.iter().filter(whole).count();
    !job.spec.idempotent && (completed > 1 || (started > 1 && !job.repeatable()))
}

/// Returns the accelerator-seconds of counted work within a span.
fn work(world: &World, (from, to): (Duration, Duration)) -> f64 {
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
    let rank = (count(values.len()) * percent / 100.0).ceil() as usize;
    values.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { f64::NAN }
}

/// Converts a count, which is far below the 2^52 up to which a float counts without loss.
#[allow(clippy::cast_precision_loss)]
fn count(number: usize) -> f64 {
    number as f64
}
