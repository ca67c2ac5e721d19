//! The service-level report of a region, merged from its entries.

mod gather;
mod html;
mod plot;
mod text;

use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep_core::burn::{Ledger, ServiceLevel};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// What the entries counted, and what could not be seen.
pub struct Report {
    /// When it was made.
    pub at: SystemTime,
    /// One line for each workspace and kind.
    pub lines: Vec<ServiceLevel>,
    /// Counters of all entries that answered.
    pub ledger: Ledger,
    /// Entries that answered.
    pub seen: Vec<Seen>,
    /// Servers that did not answer, and why.
    pub missing: Vec<(SocketAddr, String)>,
    /// Number of entries that the region has, by their settings.
    pub entries: u64,
    /// Objective and priority by workspace and kind.
    pub objectives: std::collections::BTreeMap<(String, String), Objective>,
}

/// An entry that answered.
pub struct Seen {
    /// Where it was asked.
    pub server: SocketAddr,
    /// Its name.
    pub entry: String,
    /// Time since which this life of the entry counts.
    pub since: Option<SystemTime>,
}

/// What a kind declares.
pub struct Objective {
    /// Longest time to an answer that is on time. Unit: milliseconds.
    pub objective_ms: u64,
    /// `urgent`, `normal` or `patient`.
    pub priority: String,
}

/// Makes the report that the command line asks for.
pub async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let form = matches.get_one::<String>("output").map(String::as_str);
    let file = matches.get_one::<String>("file");
    if file.is_some() && form != Some("html") {
        let what = "--file is for -o html; other forms go to the standard output";
        return Err(Failure::Usage(what.to_owned()));
    }
    let servers = matches.get_many::<SocketAddr>("server");
    let mut servers: Vec<SocketAddr> = servers.into_iter().flatten().copied().collect();
    let mut known = std::collections::BTreeSet::new();
    servers.retain(|server| known.insert(*server));
    let report = Report::gather(&servers, SystemTime::now()).await?;
    match (form, file) {
        (Some("json"), _) => output::json(&report.json()),
        (Some("html"), Some(file)) => std::fs::write(file, report.html()?)
            .map_err(|error| Failure::Failed(format!("{file}: can't be written: {error}"))),
        (Some("html"), None) => output::print(&report.html()?),
        _ => output::print(&report.text()),
    }
}

impl Report {
    /// Returns the report for programs. Its ledger merges with those of other reports.
    pub fn json(&self) -> Value {
        let seen = self.seen.iter().map(|seen| {
            json!({
                "server": seen.server,
                "entry": seen.entry,
                "since_ms": seen.since.map(millis),
            })
        });
        let missing = self
            .missing
            .iter()
            .map(|(server, why)| json!({"server": server, "error": why}));
        json!({
            "at_ms": millis(self.at),
            "entries": self.entries,
            "seen": seen.collect::<Vec<_>>(),
            "missing": missing.collect::<Vec<_>>(),
            "sight": self.sight(),
            "lines": self.lines,
            "ledger": self.ledger,
        })
    }
}

/// Returns a time in milliseconds since 1970.
fn millis(at: SystemTime) -> u64 {
    let since: Duration = at
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
