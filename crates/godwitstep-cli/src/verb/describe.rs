//! Everything about one resource.

use super::collection;
use super::filter::Filter;
use super::get::list;
use super::row::text;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::Collection;
use serde_json::Value;
use std::fmt::Write;

/// Shows a resource with what the deciding entry knows of it, and what belongs to it.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let collection = collection(matches)?;
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let (asked, status) = decider(client).await?;
    let asked = asked.as_ref().unwrap_or(client);
    let object = asked.get(&format!("/v1/{collection}/{name}")).await?;
    let mut shown = output::outline(&object, 0);
    let _ = writeln!(shown, "{}", whose(&status));
    if collection != Collection::Jobs {
        let (_, jobs) = list(asked, Collection::Jobs, &Filter::default()).await?;
        let mine = |job: &&Value| match collection {
            Collection::Domains => {
                let domains = job["status"]["domains"].as_array();
                domains.is_some_and(|domains| domains.iter().any(|domain| domain == name))
            }
            _ => job["spec"]["workspace"] == name,
        };
        let jobs: Vec<&Value> = jobs.iter().filter(mine).collect();
        shown.push_str(&of_jobs(&jobs));
        if collection == Collection::Domains {
            let (_, workspaces) = list(asked, Collection::Workspaces, &Filter::default()).await?;
            shown.push_str(&guarantees(&workspaces));
            let scattered = &status["fragmentation_per_mille"];
            let _ = writeln!(
                shown,
                "fragmentation of the region {} per mille",
                text(scattered)
            );
        }
    }
    output::print(&shown)
}

/// Returns a client of the deciding entry, if it is among the servers, with its status, or else
/// the status of the first server that answers.
async fn decider(client: &Client) -> Result<(Option<Client>, Value), Failure> {
    let mut first = None;
    let mut failure = None;
    for server in client.addresses() {
        let one = Client::of(&[server]);
        match one.get("/v1/status").await {
            Ok(status) if status["deciding"] == true => return Ok((Some(one), status)),
            Ok(status) => {
                first.get_or_insert((None, status));
            }
            Err(error) => failure = Some(error),
        }
    }
    let missing = || Failure::Usage("--server is missing".to_owned());
    first.ok_or_else(|| failure.unwrap_or_else(missing))
}

/// Tells which entry decides, and what that means for what is shown.
fn whose(status: &Value) -> String {
    let decider = text(&status["decider"]);
    if status["deciding"] == true {
        return format!("decider {decider}");
    }
    format!(
        "decider {decider}; {} does not decide and knows neither waiting reasons nor capacity; \
         name {decider} with --server",
        text(&status["name"])
    )
}

/// Returns running jobs, borrowers marked, and waiting jobs with their reasons.
fn of_jobs(jobs: &[&Value]) -> String {
    let mut shown = String::new();
    for (title, phase) in [("running jobs", "running"), ("waiting jobs", "queued")] {
        let found: Vec<_> = jobs
            .iter()
            .filter(|job| job["status"]["phase"] == phase)
            .collect();
        let _ = writeln!(shown, "{title} {}", found.len());
        for job in found {
            let reason = &job["status"]["reason"];
            let _ = writeln!(
                shown,
                "  {}: {}",
                text(&job["name"]),
                text(&reason["message"])
            );
        }
    }
    shown
}

/// Returns the guarantees of all workspaces: accelerators that are covered and suspended.
fn guarantees(workspaces: &[Value]) -> String {
    let mut shown = String::from("guarantees of the region\n");
    for workspace in workspaces {
        let status = &workspace["status"];
        let (guaranteed, suspended) = (status["guaranteed"].as_u64(), status["suspended"].as_u64());
        let Some((guaranteed, suspended)) = guaranteed.zip(suspended) else {
            continue;
        };
        let _ = writeln!(
            shown,
            "  {}: {} covered, {suspended} suspended, {} in use",
            text(&workspace["name"]),
            guaranteed.saturating_sub(suspended),
            text(&status["used"]),
        );
    }
    shown
}
