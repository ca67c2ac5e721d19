//! Open-loop load through entries and, in the same run, directly on the same targets.
//!
//! Prints one JSON object a line: one for each path, the added latency, and one for each process.

mod arguments;
mod drive;
mod path;
pub(crate) mod process;
mod tally;

pub use arguments::command;

use arguments::Settings;
use clap::ArgMatches;
use path::Path;
use process::{Process, Usage};
use smol::LocalExecutor;
use std::error::Error;
use std::io::Write;
use std::rc::Rc;
use std::time::Instant;
use tally::Summary;

/// Runs the load and prints its figures.
///
/// # Errors
///
/// An address is not a loopback address, or a process cannot be observed.
pub fn run(given: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::new(given)?;
    let begin = Instant::now();
    let before: Vec<Usage> = settings
        .processes
        .iter()
        .map(Process::usage)
        .collect::<Result<_, _>>()?;
    let (entry, direct) = measure(&settings);
    let time = begin.elapsed();
    let mut out = std::io::stdout().lock();
    for summary in [&entry, &direct].into_iter().flatten() {
        writeln!(out, "{}", serde_json::to_string(summary)?)?;
    }
    if let (Some(entry), Some(direct)) = (&entry, &direct) {
        writeln!(out, "{}", serde_json::to_string(&entry.added(direct))?)?;
    }
    for (process, before) in settings.processes.iter().zip(before) {
        let report = process.report(before, time)?;
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    }
    Ok(())
}

/// Runs both paths at once, so that they meet the same state of the machine and of the targets.
fn measure(settings: &Settings) -> (Option<Summary>, Option<Summary>) {
    let executor = Rc::new(LocalExecutor::new());
    let drive = |path: Option<Path>, seed: u64| {
        let (executor, load) = (Rc::clone(&executor), settings.load);
        async move {
            match path {
                Some(path) => Some(drive::run(&executor, Rc::new(path), load, seed).await),
                None => None,
            }
        }
    };
    let seed = settings.load.seed;
    let entry = drive(settings.entry(), seed);
    // The paths have schedules of their own, so that neither always follows the other.
    let direct = drive(settings.direct(), seed.wrapping_add(1));
    smol::block_on(executor.run(smol::future::zip(entry, direct)))
}
