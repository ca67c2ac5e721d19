//! Sub-command `scale`: measures time and memory of the planner by size of the region, and the size
//! and cost of frames, records, the registry and the key table.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use std::error::Error;
use std::time::Duration;

pub mod fit;
mod frame;
mod keys_and_records;
mod memory;
mod region;
mod registry;

use fit::Fit;
use region::Region;

/// Series of measurements by name, with the number of workers and of tasks at full size.
const SERIES: [(&str, usize, u64); 2] = [
    ("one_domain", 2_667, 68_000),
    ("all_domains", 32_000, 820_000),
];
/// Sizes of a series, as divisors of the full size.
const DIVISORS: [usize; 7] = [64, 32, 16, 8, 4, 2, 1];

/// Number of jobs that don't fit after which a region counts as full.
const MAX_UNPLACED_JOBS: usize = 100;

/// One row of the output.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "row", rename_all = "snake_case")]
enum Row {
    /// The planner in a region of one size.
    Planner(PlannerPoint),
    /// Size and coding time of a frame.
    Frame {
        kind: &'static str,
        /// Number of parts in the frame.
        parts: u32,
        bytes: usize,
        encode_us: f64,
        decode_us: f64,
    },
    /// Memory of an agent's key table with a number of keys.
    Keys {
        count: u64,
        bytes: usize,
        per_item: usize,
    },
    /// Encoded size of a record in the log.
    Record {
        kind: &'static str,
        /// Number of workers that the record names.
        parts: u32,
        bytes: usize,
    },
    /// Memory of the registry with a number of jobs or workspaces.
    Registry {
        kind: &'static str,
        count: usize,
        bytes: usize,
        /// Mean memory of one job or workspace.
        bytes_each: usize,
        /// Mean time to fold a record. Unit: microseconds.
        fold_us: f64,
    },
    /// Growth of a figure of the planner with the size of the region.
    Fit {
        series: &'static str,
        figure: &'static str,
        /// Independent variable of the fit.
        against: &'static str,
        #[serde(flatten)]
        fit: Fit,
    },
}

/// Measurements of the planner in a region of one size.
#[derive(Debug, Clone, Serialize)]
struct PlannerPoint {
    series: &'static str,
    divisor: usize,
    workers: usize,
    tasks: u64,
    jobs: usize,
    /// Number of jobs whose start was timed at this size.
    measured: usize,
    /// Time to handle a submission, up to the reservations of its workers.
    decision_p50_us: f64,
    decision_p99_us: f64,
    decision_max_us: f64,
    /// Time to handle all events of a job from its submission until its gang is settled.
    start_p50_us: f64,
    start_p99_us: f64,
    /// Time to handle all events of the end of a job.
    end_p50_us: f64,
    end_p99_us: f64,
    /// Memory of the planner without jobs, per worker.
    bytes_per_worker: usize,
    /// Additional memory with jobs, per job.
    bytes_per_job: usize,
    /// Additional memory with jobs, per task.
    bytes_per_task: usize,
    bytes: usize,
    /// Time in which a new planner adopts all running jobs.
    recovery_ms: f64,
    /// Number of actions of the new planner; 0 if it left all jobs as they run.
    recovery_actions: usize,
}

/// Returns the definition of the sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("scale")
        .about("Measures decision time, memory and frames by size of the region")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object per line instead of fields as name=value"),
        )
        .arg(
            Arg::new("measured")
                .long("measured")
                .value_parser(value_parser!(usize))
                .default_value("2000")
                .help("Jobs whose start is timed at each size"),
        )
        .arg(
            Arg::new("smallest")
                .long("smallest")
                .value_parser(value_parser!(usize))
                .default_value("1")
                .help("Skip sizes larger than the full size divided by this number"),
        )
}

/// Runs the sub-command and prints one line for each row.
///
/// # Errors
///
/// Returns an error if a row can't be encoded.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let value = |name| matches.get_one::<usize>(name).copied().unwrap_or(1);
    let (measured, smallest) = (value("measured"), value("smallest"));
    let json = matches.get_flag("json");
    for (series, workers, tasks) in SERIES {
        let mut points = Vec::new();
        for divisor in DIVISORS.into_iter().filter(|divisor| *divisor >= smallest) {
            let point = measure_planner(series, divisor, workers, tasks, measured);
            print_row(&Row::Planner(point.clone()), json)?;
            points.push(point);
        }
        for row in fit_rows(series, &points) {
            print_row(&row, json)?;
        }
    }
    let others = frame::rows().into_iter().chain(registry::rows());
    for row in others.chain(keys_and_records::rows()) {
        print_row(&row, json)?;
    }
    Ok(())
}

fn print_row(row: &Row, json: bool) -> Result<(), Box<dyn Error>> {
    let value = serde_json::to_value(row)?;
    match value.as_object() {
        Some(object) if !json => {
            let fields = object.iter().map(|(name, value)| format!("{name}={value}"));
            println!("{}", fields.collect::<Vec<_>>().join(" "));
        }
        _ => println!("{value}"),
    }
    Ok(())
}

/// Fills a region with jobs up to `tasks`, then times the starts of `measured` more jobs and the
/// ends of the jobs that make room for them. The region has `workers` and `tasks` divided by
/// `divisor`.
fn measure_planner(
    series: &'static str,
    divisor: usize,
    workers: usize,
    tasks: u64,
    measured: usize,
) -> PlannerPoint {
    let workers = workers / divisor;
    let tasks = tasks / u64::try_from(divisor).unwrap_or(1);
    let idle_bytes = memory::heap_bytes(Region::new(workers).planner);
    let mut region = Region::new(workers);
    // A large gang may not fit a small region, but the smaller ones after it may.
    let mut unplaced = 0;
    while region.tasks < tasks && unplaced < MAX_UNPLACED_JOBS {
        let before = region.tasks;
        region.submit();
        unplaced += usize::from(region.tasks == before);
    }
    region.advance_time(Duration::from_secs(11));
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut decisions, mut starts, mut ends) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..measured {
        while region.tasks >= tasks {
            ends.push(region.end(rng.usize(0..region.running.len())));
        }
        let (decision, start) = region.submit();
        decisions.push(decision);
        starts.push(start);
    }
    let (recovery, recovery_actions) = region.recover();
    let (tasks, jobs) = (region.tasks, region.running.len());
    let bytes = memory::heap_bytes(region.planner);
    let job_bytes = bytes.saturating_sub(idle_bytes);
    PlannerPoint {
        series,
        divisor,
        workers,
        tasks,
        jobs,
        measured,
        decision_p50_us: percentile_us(&mut decisions, 50),
        decision_p99_us: percentile_us(&mut decisions, 99),
        decision_max_us: percentile_us(&mut decisions, 100),
        start_p50_us: percentile_us(&mut starts, 50),
        start_p99_us: percentile_us(&mut starts, 99),
        end_p50_us: percentile_us(&mut ends, 50),
        end_p99_us: percentile_us(&mut ends, 99),
        bytes_per_worker: idle_bytes / workers.max(1),
        bytes_per_job: job_bytes / jobs.max(1),
        bytes_per_task: job_bytes / usize::try_from(tasks).unwrap_or(1).max(1),
        bytes,
        recovery_ms: micros(recovery) / 1_000.0,
        recovery_actions,
    }
}

fn fit_rows(series: &'static str, points: &[PlannerPoint]) -> Vec<Row> {
    type Figure = (&'static str, fn(&PlannerPoint) -> f64);
    // Sizes and bytes are far below the 2^52 up to which a float is exact.
    #[allow(clippy::cast_precision_loss)]
    let figures: [Figure; 6] = [
        ("decision_p50_us", |point| point.decision_p50_us),
        ("decision_p99_us", |point| point.decision_p99_us),
        ("start_p99_us", |point| point.start_p99_us),
        ("end_p99_us", |point| point.end_p99_us),
        ("bytes", |point| point.bytes as f64),
        ("recovery_ms", |point| point.recovery_ms),
    ];
    let rows = figures.into_iter().map(|(figure, value)| {
        #[allow(clippy::cast_precision_loss)]
        let pairs = points
            .iter()
            .map(|point| (point.workers as f64, value(point)));
        let fit = fit::fit(&pairs.collect::<Vec<_>>());
        Row::Fit {
            series,
            figure,
            against: "workers",
            fit,
        }
    });
    rows.collect()
}

/// Returns a percentile by nearest rank, in microseconds; 0 if there are no times.
fn percentile_us(times: &mut [Duration], percent: usize) -> f64 {
    times.sort_unstable();
    let index = (times.len() * percent).div_ceil(100).max(1) - 1;
    times.get(index).map_or(0.0, |time| micros(*time))
}

/// Converts a time to microseconds with three decimals.
fn micros(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e9).round() / 1e3
}
