//! Sub-command `slopes`: measures processor share and memory of idle daemons by the number of their
//! links.
//!
//! Starts entries and agents as processes on loopback ports, with an embedded log service. The
//! capacity model in `docs/CAPACITY.md` uses the slopes.

mod cluster;

use crate::load::process::{Process, Usage};
use clap::{Arg, ArgMatches, Command, value_parser};
use cluster::Cluster;
use godwitstep_lab::scale::fit;
use serde_json::json;
use std::error::Error;
use std::time::{Duration, Instant};

/// Numbers of agents that are linked to one entry. Bounded by the number of processes that a test
/// machine should run.
const AGENT_COUNTS: [usize; 5] = [6, 12, 24, 48, 96];
/// Numbers of entries that one agent is linked to.
const ENTRY_COUNTS: [usize; 4] = [1, 2, 3, 5];
/// Time for processes to become idle after the last link is up.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Returns the definition of the sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measures processor share and memory of idle daemons by the number of their links")
        .arg(
            Arg::new("bin")
                .long("bin")
                .value_name("FILE")
                .default_value("target/release/godwitstep")
                .help("Executable of the daemons"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..=120))
                .default_value("10")
                .help("Length of each measurement in seconds"),
        )
}

/// Runs the sub-command and prints one JSON object for each point and fit.
///
/// # Errors
///
/// Returns an error if a process can't be started or measured.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let bin = matches.get_one::<String>("bin").ok_or("--bin is missing")?;
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
    let duration = Duration::from_secs(seconds);
    let mut points = Vec::new();
    for agents in AGENT_COUNTS {
        let cluster = Cluster::start(bin, 1, agents)?;
        points.push(measure("entry", agents, cluster.entry_pid(), duration)?);
    }
    print_fits("entry", "agents", &points);
    points.clear();
    for entries in ENTRY_COUNTS {
        let cluster = Cluster::start(bin, entries, 1)?;
        points.push(measure("agent", entries, cluster.agent_pid(), duration)?);
    }
    print_fits("agent", "entries", &points);
    Ok(())
}

/// Number of links of a process, its processor share in percent of a core, and its memory in MiB.
type Point = (f64, f64, f64);

/// Measures an idle process and prints the point.
fn measure(
    role: &str,
    links: usize,
    pid: u32,
    duration: Duration,
) -> Result<Point, Box<dyn Error>> {
    std::thread::sleep(SETTLE_TIME);
    let process = Process::new(role.to_owned(), pid);
    let before: Usage = process.usage()?;
    let begin = Instant::now();
    std::thread::sleep(duration);
    let report = process.report(before, begin.elapsed())?;
    let row = json!({
        "row": "point", "role": role, "links": links,
        "core_percent": report.core_percent, "resident_mib": report.resident_mib,
    });
    println!("{row}");
    let links = u32::try_from(links)?;
    Ok((f64::from(links), report.core_percent, report.resident_mib))
}

/// Prints the growth of processor share and memory with the number of links.
fn print_fits(role: &str, against: &str, points: &[Point]) {
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
