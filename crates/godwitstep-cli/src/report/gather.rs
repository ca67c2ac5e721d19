//! Reads the counters of all entries and merges them.

use super::{Objective, Report, Seen};
use crate::client::Client;
use crate::failure::Failure;
use godwitstep_core::burn::Ledger;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

impl Report {
    /// Asks each server for its counters. Servers that don't answer are listed in the report.
    pub async fn gather(servers: &[SocketAddr], at: SystemTime) -> Result<Self, Failure> {
        let mut whole: Option<Ledger> = None;
        let mut report = Self {
            at,
            lines: Vec::new(),
            ledger: Ledger::new("report", 0),
            seen: Vec::new(),
            missing: Vec::new(),
            entries: 0,
            objectives: BTreeMap::new(),
        };
        for server in servers {
            match ask(*server).await {
                Ok((seen, ledger, entries)) => {
                    report.entries = report.entries.max(entries);
                    let told = report.seen.iter().any(|other| other.entry == seen.entry);
                    if !told {
                        report.seen.push(seen);
                    }
                    match &mut whole {
                        Some(whole) => whole.merge(&ledger),
                        None => whole = Some(ledger),
                    }
                }
                Err(failure) => report.missing.push((*server, failure.to_string())),
            }
        }
        let Some(ledger) = whole else {
            let list: Vec<String> = report.missing.into_iter().map(|(_, why)| why).collect();
            return Err(Failure::Failed(format!(
                "no entry could be asked: {}",
                list.join("; ")
            )));
        };
        report.lines = ledger.service_levels(at);
        report.ledger = ledger;
        let seen: Vec<SocketAddr> = report.seen.iter().map(|seen| seen.server).collect();
        report.objectives = objectives(&Client::of(&seen)).await?;
        Ok(report)
    }
}

async fn ask(server: SocketAddr) -> Result<(Seen, Ledger, u64), Failure> {
    let mut told = Client::of(&[server]).get("/v1/report").await?;
    let entry = told["entry"].as_str().unwrap_or("unnamed").to_owned();
    let entries = told["entries"].as_u64().unwrap_or(0);
    // The incarnation of an entry is the wall clock of its start.
    let since = told["ledger"]["incarnation"].as_u64();
    let since = since.map(|since| SystemTime::UNIX_EPOCH + Duration::from_micros(since));
    let ledger = serde_json::from_value(told["ledger"].take()).map_err(|error| {
        let what = format!("{server}: the counters can't be read: {error}");
        Failure::Failed(what)
    })?;
    let seen = Seen {
        server,
        entry,
        since,
    };
    Ok((seen, ledger, entries))
}

async fn objectives(client: &Client) -> Result<BTreeMap<(String, String), Objective>, Failure> {
    let list = client.get("/v1/workspaces?limit=5000").await?;
    let word = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut found = BTreeMap::new();
    for workspace in list["items"].as_array().into_iter().flatten() {
        let kinds = workspace["spec"]["kinds"].as_array();
        for kind in kinds.into_iter().flatten() {
            let objective = Objective {
                objective_ms: kind["objective_ms"].as_u64().unwrap_or(0),
                priority: word(&kind["priority"]),
            };
            found.insert((word(&workspace["name"]), word(&kind["name"])), objective);
        }
    }
    Ok(found)
}
