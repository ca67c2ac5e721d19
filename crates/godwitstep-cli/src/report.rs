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

/// Merged counters of the entries, and which entries they lack.
pub struct Report {
    /// Time of the report.
    pub time: SystemTime,
    /// Service levels of each workspace and kind.
    pub service_levels: Vec<ServiceLevel>,
    /// Merged counters of all entries that responded.
    pub ledger: Ledger,
    /// Entries whose counters are included.
    pub included: Vec<IncludedEntry>,
    /// Servers whose counters could not be read, and why.
    pub missing: Vec<(SocketAddr, String)>,
    /// Number of entries of the region according to their settings.
    pub entry_count: u64,
    /// Objective and priority by workspace and kind.
    pub objectives: std::collections::BTreeMap<(String, String), Objective>,
}

/// An entry whose counters are included in a report.
pub struct IncludedEntry {
    /// Address that returned the counters.
    pub server: SocketAddr,
    /// Name of the entry.
    pub name: String,
    /// Start of its current incarnation. Its counters start at zero then.
    pub started: Option<SystemTime>,
}

/// Declared objective of a kind.
pub struct Objective {
    /// Maximum time in which an answer counts as on time. Unit: milliseconds.
    pub objective_ms: u64,
    /// `urgent`, `normal` or `patient`.
    pub priority: String,
}

/// Creates the report and writes it in the format of the command line.
pub async fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let format = matches.get_one::<String>("output").map(String::as_str);
    let file = matches.get_one::<String>("file");
    if file.is_some() && format != Some("html") {
        let message = "--file is for -o html; other formats go to the standard output";
        return Err(Failure::Usage(message.to_owned()));
    }
    let servers = matches.get_many::<SocketAddr>("server");
    let mut servers: Vec<SocketAddr> = servers.into_iter().flatten().copied().collect();
    let mut unique = std::collections::BTreeSet::new();
    servers.retain(|server| unique.insert(*server));
    let report = Report::gather(&servers, SystemTime::now()).await?;
    match (format, file) {
        (Some("json"), _) => output::print_json(&report.json()),
        (Some("html"), Some(file)) => std::fs::write(file, report.html()?)
            .map_err(|error| Failure::Failed(format!("{file}: can't be written: {error}"))),
        (Some("html"), None) => output::print(&report.html()?),
        _ => output::print(&report.text()),
    }
}

impl Report {
    /// Returns the report as JSON. Its ledger can be merged with those of other reports.
    pub fn json(&self) -> Value {
        let included = self.included.iter().map(|entry| {
            json!({
                "server": entry.server,
                "entry": entry.name,
                "since_ms": entry.started.map(unix_millis),
            })
        });
        let missing = self
            .missing
            .iter()
            .map(|(server, error)| json!({"server": server, "error": error}));
        json!({
            "at_ms": unix_millis(self.time),
            "entries": self.entry_count,
            "seen": included.collect::<Vec<_>>(),
            "missing": missing.collect::<Vec<_>>(),
            "sight": self.coverage(),
            "lines": self.service_levels,
            "ledger": self.ledger,
        })
    }
}

/// Returns a time as milliseconds since the Unix epoch.
fn unix_millis(time: SystemTime) -> u64 {
    let since_epoch: Duration = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
