//! `scale`: time and memory of the planner's decisions by size, and of frames.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;
use std::error::Error;
use std::time::Duration;

pub mod fit;
mod frame;
mod memory;
mod region;

use fit::Fit;
use region::Region;

/// Workers and tasks of each series at full size.
const SERIES: [(&str, usize, u64); 2] = [
    ("one_domain", 2_667, 68_000),
    ("all_domains", 32_000, 820_000),
];
/// Fractions of the full size, as divisors.
const DIVISORS: [usize; 7] = [64, 32, 16, 8, 4, 2, 1];

/// Jobs without a place after which a region counts as full.
const MOST_REFUSED: usize = 100;

/// One line of the result.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "row", rename_all = "snake_case")]
enum Row {
    Planner(Point),
    Frame {
        kind: &'static str,
        /// Parts in the frame.
        parts: u32,
        bytes: usize,
        encode_us: f64,
        decode_us: f64,
    },
    Fit {
        series: &'static str,
        figure: &'static str,
        /// What the figure is fitted against.
        against: &'static str,
        #[serde(flatten)]
        fit: Fit,
    },
}

/// The planner at one size.
#[derive(Debug, Clone, Serialize)]
struct Point {
    series: &'static str,
    divisor: usize,
    workers: usize,
    tasks: u64,
    jobs: usize,
    /// Jobs that were started and ended at this size while time was taken.
    measured: usize,
    /// From a submission to the reservations of its place.
    decision_p50_us: f64,
    decision_p99_us: f64,
    decision_max_us: f64,
    /// All events of a job from its submission to its settling.
    start_p50_us: f64,
    start_p99_us: f64,
    /// All events of the end of a job.
    end_p50_us: f64,
    end_p99_us: f64,
    bytes_per_worker: usize,
    bytes_per_job: usize,
    bytes_per_task: usize,
    bytes: usize,
    recovery_ms: f64,
    /// Actions of the new planner; 0 if it took over everything as it runs.
    recovery_actions: usize,
}

/// Returns the sub-command's definition.
#[must_use]
pub fn command() -> Command {
    Command::new("scale")
        .about("Decision time, memory and frames by size")
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print one JSON object a line instead of a table"),
        )
        .arg(
            Arg::new("measured")
                .long("measured")
                .value_parser(value_parser!(usize))
                .default_value("2000")
                .help("Jobs of which the time is taken at each size"),
        )
        .arg(
            Arg::new("smallest")
                .long("smallest")
                .value_parser(value_parser!(usize))
                .default_value("1")
                .help("Leave out sizes above the full one divided by this"),
        )
}

/// Carries out the sub-command.
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
            let point = point(series, divisor, workers, tasks, measured);
            print(&Row::Planner(point.clone()), json)?;
            points.push(point);
        }
        for row in fits(series, &points) {
            print(&row, json)?;
        }
    }
    for row in frame::rows() {
        print(&row, json)?;
    }
    Ok(())
}

fn print(row: &Row, json: bool) -> Result<(), Box<dyn Error>> {
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

fn point(
    series: &'static str,
    divisor: usize,
    workers: usize,
    tasks: u64,
    measured: usize,
) -> Point {
    let workers = workers / divisor;
    let tasks = tasks / u64::try_from(divisor).unwrap_or(1);
    let idle = memory::bytes_of(Region::new(workers).planner);
    let mut region = Region::new(workers);
    // A gang may find no place in a small region; the next smaller ones do.
    let mut refused = 0;
    while region.tasks < tasks && refused < MOST_REFUSED {
        let before = region.tasks;
        region.submit();
        refused += usize::from(region.tasks == before);
    }
    region.pass(Duration::from_secs(11));
    let mut rng = fastrand::Rng::with_seed(1);
    let (mut decisions, mut starts, mut ends) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..measured {
        while region.tasks >= tasks {
            ends.push(region.end(rng.usize(0..region.placed.len())));
        }
        let (decision, start) = region.submit();
        decisions.push(decision);
        starts.push(start);
    }
    let (recovery, recovery_actions) = region.recover();
    let (tasks, jobs) = (region.tasks, region.placed.len());
    let bytes = memory::bytes_of(region.planner);
    let of_jobs = bytes.saturating_sub(idle);
    Point {
        series,
        divisor,
        workers,
        tasks,
        jobs,
        measured,
        decision_p50_us: percentile(&mut decisions, 50),
        decision_p99_us: percentile(&mut decisions, 99),
        decision_max_us: percentile(&mut decisions, 100),
        start_p50_us: percentile(&mut starts, 50),
        start_p99_us: percentile(&mut starts, 99),
        end_p50_us: percentile(&mut ends, 50),
        end_p99_us: percentile(&mut ends, 99),
        bytes_per_worker: idle / workers.max(1),
        bytes_per_job: of_jobs / jobs.max(1),
        bytes_per_task: of_jobs / usize::try_from(tasks).unwrap_or(1).max(1),
        bytes,
        recovery_ms: micros(recovery) / 1_000.0,
        recovery_actions,
    }
}

fn fits(series: &'static str, points: &[Point]) -> Vec<Row> {
    type Figure = (&'static str, fn(&Point) -> f64);
    // Sizes and bytes are far below the 2^52 up to which floats count without loss.
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

fn percentile(times: &mut [Duration], percent: usize) -> f64 {
    times.sort_unstable();
    let at = (times.len() * percent).div_ceil(100).max(1) - 1;
    times.get(at).map_or(0.0, |time| micros(*time))
}

fn micros(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e9).round() / 1e3
}
