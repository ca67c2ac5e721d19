//! Collection and merging of the counters of all entries.

use super::{IncludedEntry, Objective, Report};
use crate::client::Client;
use crate::failure::Failure;
use godwitstep_core::burn::Ledger;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

impl Report {
    /// Gets the counters of each server and merges them. Servers that don't respond are listed in
    /// the report.
    pub async fn gather(servers: &[SocketAddr], time: SystemTime) -> Result<Self, Failure> {
        let mut merged: Option<Ledger> = None;
        let mut report = Self {
            time,
            service_levels: Vec::new(),
            ledger: Ledger::new("report", 0),
            included: Vec::new(),
            missing: Vec::new(),
            entry_count: 0,
            objectives: BTreeMap::new(),
        };
        for server in servers {
            match get_counters(*server).await {
                Ok((entry, ledger, entry_count)) => {
                    report.entry_count = report.entry_count.max(entry_count);
                    let known = report.included.iter().any(|other| other.name == entry.name);
                    if !known {
                        report.included.push(entry);
                    }
                    match &mut merged {
                        Some(merged) => merged.merge(&ledger),
                        None => merged = Some(ledger),
                    }
                }
                Err(failure) => report.missing.push((*server, failure.to_string())),
            }
        }
        let Some(ledger) = merged else {
            let errors: Vec<String> = report.missing.into_iter().map(|(_, error)| error).collect();
            return Err(Failure::Failed(format!(
                "no entry returned its counters: {}",
                errors.join("; ")
            )));
        };
        report.service_levels = ledger.service_levels(time);
        report.ledger = ledger;
        let servers: Vec<SocketAddr> = report.included.iter().map(|entry| entry.server).collect();
        report.objectives = get_objectives(&Client::with_servers(&servers)).await?;
        Ok(report)
    }
}

/// Gets the counters of one entry and the number of entries in its settings.
async fn get_counters(server: SocketAddr) -> Result<(IncludedEntry, Ledger, u64), Failure> {
    let mut response = Client::with_servers(&[server]).get("/v1/report").await?;
    let name = response["entry"].as_str().unwrap_or("unnamed").to_owned();
    let entry_count = response["entries"].as_u64().unwrap_or(0);
    // The incarnation of an entry is the wall-clock time of its start in microseconds.
    let incarnation = response["ledger"]["incarnation"].as_u64();
    let started = incarnation.map(|micros| SystemTime::UNIX_EPOCH + Duration::from_micros(micros));
    let ledger = serde_json::from_value(response["ledger"].take()).map_err(|error| {
        let message = format!("{server}: the counters can't be parsed: {error}");
        Failure::Failed(message)
    })?;
    let entry = IncludedEntry {
        server,
        name,
        started,
    };
    Ok((entry, ledger, entry_count))
}

/// Gets the declared objectives of all workspaces and kinds.
async fn get_objectives(client: &Client) -> Result<BTreeMap<(String, String), Objective>, Failure> {
    let list = client.get("/v1/workspaces?limit=5000").await?;
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    let mut objectives = BTreeMap::new();
    for workspace in list["items"].as_array().into_iter().flatten() {
        let kinds = workspace["spec"]["kinds"].as_array();
        for kind in kinds.into_iter().flatten() {
            let objective = Objective {
                objective_ms: kind["objective_ms"].as_u64().unwrap_or(0),
                priority: text(&kind["priority"]),
            };
            objectives.insert((text(&workspace["name"]), text(&kind["name"])), objective);
        }
    }
    Ok(objectives)
}
