//! Sub-command `load`: generates open-loop load through entries and, at the same time, directly on
//! the same targets.
//!
//! Prints one JSON object per line: one for each path, the added latency, and one for each process.

mod arguments;
mod generator;
mod path;
pub(crate) mod process;
mod statistics;

pub use arguments::command;

use arguments::Settings;
use clap::ArgMatches;
use path::Path;
use process::{Process, Usage};
use smol::LocalExecutor;
use statistics::Summary;
use std::error::Error;
use std::io::Write;
use std::rc::Rc;
use std::time::Instant;

/// Runs the sub-command and prints its measurements.
///
/// # Errors
///
/// Returns an error if the arguments can't be sent as a request or a process can't be measured.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let settings = Settings::new(matches)?;
    let start = Instant::now();
    let before: Vec<Usage> = settings
        .processes
        .iter()
        .map(Process::usage)
        .collect::<Result<_, _>>()?;
    let (entry, direct) = run_paths(&settings);
    let elapsed = start.elapsed();
    let mut out = std::io::stdout().lock();
    for summary in [&entry, &direct].into_iter().flatten() {
        writeln!(out, "{}", serde_json::to_string(summary)?)?;
    }
    if let (Some(entry), Some(direct)) = (&entry, &direct) {
        writeln!(
            out,
            "{}",
            serde_json::to_string(&entry.added_latency(direct))?
        )?;
    }
    for (process, before) in settings.processes.iter().zip(before) {
        let report = process.report(before, elapsed)?;
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    }
    Ok(())
}

/// Runs both paths at the same time, so that both are measured under the same conditions of the
/// machine and of the targets.
fn run_paths(settings: &Settings) -> (Option<Summary>, Option<Summary>) {
    let executor = Rc::new(LocalExecutor::new());
    let run_path = |path: Option<Path>, seed: u64| {
        let (executor, load) = (Rc::clone(&executor), settings.load);
        async move {
            match path {
                Some(path) => Some(generator::run(&executor, Rc::new(path), load, seed).await),
                None => None,
            }
        }
    };
    let seed = settings.load.seed;
    let entry = run_path(settings.entry_path(), seed);
    // The paths have different arrival times, so that neither always follows the other.
    let direct = run_path(settings.direct_path(), seed.wrapping_add(1));
    smol::block_on(executor.run(smol::future::zip(entry, direct)))
}
