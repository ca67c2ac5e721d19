//! `slopes`: processor share and memory of real daemons by the number of their links.
//!
//! Starts entries and agents as processes on loopback ports, with an embedded log service, and
//! observes them while they are idle. The slopes feed `docs/CAPACITY.md`.

mod cluster;

use crate::load::process::{Process, Usage};
use clap::{Arg, ArgMatches, Command, value_parser};
use cluster::Cluster;
use godwitstep_lab::scale::fit;
use serde_json::json;
use std::error::Error;
use std::time::{Duration, Instant};

/// Agents of the sweep over an entry's links. Bounded by the number of processes that a test
/// machine should run.
const AGENTS: [usize; 5] = [6, 12, 24, 48, 96];
/// Entries of the sweep over an agent's links.
const ENTRIES: [usize; 4] = [1, 2, 3, 5];
/// Time for processes to come to rest after the last link is up.
const SETTLE: Duration = Duration::from_secs(3);

/// Returns the sub-command's definition.
#[must_use]
pub fn command() -> Command {
    Command::new("slopes")
        .about("Processor share and memory of idle daemons by the number of their links")
        .arg(
            Arg::new("bin")
                .long("bin")
                .value_name("FILE")
                .default_value("target/release/godwitstep")
                .help("Binary of the daemons"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..=120))
                .default_value("10")
                .help("Time of each observation"),
        )
}

/// Carries out the sub-command.
///
/// # Errors
///
/// A process can't be started or observed.
pub fn run(given: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let bin = given.get_one::<String>("bin").ok_or("--bin is missing")?;
    let seconds = given.get_one::<u64>("seconds").copied().unwrap_or(10);
    let time = Duration::from_secs(seconds);
    let mut points = Vec::new();
    for agents in AGENTS {
        let cluster = Cluster::start(bin, 1, agents)?;
        points.push(observe("entry", agents, cluster.entry(), time)?);
    }
    fits("entry", "agents", &points);
    points.clear();
    for entries in ENTRIES {
        let cluster = Cluster::start(bin, entries, 1)?;
        points.push(observe("agent", entries, cluster.agent(), time)?);
    }
    fits("agent", "entries", &points);
    Ok(())
}

/// Links of a process, its processor share in percent of a core, and its memory in MiB.
type Point = (f64, f64, f64);

fn observe(role: &str, links: usize, pid: u32, time: Duration) -> Result<Point, Box<dyn Error>> {
    std::thread::sleep(SETTLE);
    let process = Process::new(role.to_owned(), pid);
    let before: Usage = process.usage()?;
    let begin = Instant::now();
    std::thread::sleep(time);
    let report = process.report(before, begin.elapsed())?;
    let row = json!({
        "row": "point", "role": role, "links": links,
        "core_percent": report.core_percent, "resident_mib": report.resident_mib,
    });
    println!("{row}");
    let links = u32::try_from(links)?;
    Ok((f64::from(links), report.core_percent, report.resident_mib))
}

fn fits(role: &str, against: &str, points: &[Point]) {
    let core: Vec<_> = points.iter().map(|point| (point.0, point.1)).collect();
    let memory: Vec<_> = points.iter().map(|point| (point.0, point.2)).collect();
    for (figure, points) in [("core_percent", core), ("resident_mib", memory)] {
        let fit = fit::fit(&points);
        let row = json!({
            "row": "fit", "role": role, "figure": figure, "against": against,
            "slope": fit.slope, "slope_error": fit.slope_error,
        });
        println!("{row}");
    }
}
