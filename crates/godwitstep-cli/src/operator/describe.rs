//! The command `describe`: shows all details of one resource.

use super::collection;
use super::filter::Filter;
use super::get::list_all;
use super::table_row::text;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use godwitstep::resources::Collection;
use serde_json::Value;
use std::fmt::Write;

/// Shows a resource with its status at the decider, and the jobs and guarantees related to it.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let collection = collection(matches)?;
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let (decider, status) = find_decider(client).await?;
    let source = decider.as_ref().unwrap_or(client);
    let object = source.get(&format!("/v1/{collection}/{name}")).await?;
    let mut description = output::outline(&object, 0);
    let _ = writeln!(description, "{}", decider_line(&status));
    if collection != Collection::Jobs {
        let (_, jobs) = list_all(source, Collection::Jobs, &Filter::default()).await?;
        let is_related = |job: &&Value| match collection {
            Collection::Domains => {
                let domains = job["status"]["domains"].as_array();
                domains.is_some_and(|domains| domains.iter().any(|domain| domain == name))
            }
            _ => job["spec"]["workspace"] == name,
        };
        let jobs: Vec<&Value> = jobs.iter().filter(is_related).collect();
        description.push_str(&job_lines(&jobs));
        if collection == Collection::Domains {
            let (_, workspaces) =
                list_all(source, Collection::Workspaces, &Filter::default()).await?;
            description.push_str(&guarantee_lines(&workspaces));
            let fragmentation = &status["fragmentation_per_mille"];
            let _ = writeln!(
                description,
                "fragmentation of the region {} per mille",
                text(fragmentation)
            );
        }
    }
    output::print(&description)
}

/// Returns a client of the decider and the decider's status if it is among the servers, or else the
/// status of the first server that responds.
async fn find_decider(client: &Client) -> Result<(Option<Client>, Value), Failure> {
    let mut first_status = None;
    let mut failure = None;
    for server in client.addresses() {
        let candidate = Client::with_servers(&[server]);
        match candidate.get("/v1/status").await {
            Ok(status) if status["deciding"] == true => return Ok((Some(candidate), status)),
            Ok(status) => {
                first_status.get_or_insert((None, status));
            }
            Err(error) => failure = Some(error),
        }
    }
    let missing = || Failure::Usage("--server is missing".to_owned());
    first_status.ok_or_else(|| failure.unwrap_or_else(missing))
}

/// Returns a line that names the decider and, if the status is that of another entry, what the
/// description lacks.
fn decider_line(status: &Value) -> String {
    let decider = text(&status["decider"]);
    if status["deciding"] == true {
        return format!("decider {decider}");
    }
    format!(
        "decider {decider}; {} is not the decider and provides neither waiting reasons nor \
         capacity; add {decider} to --server",
        text(&status["name"])
    )
}

/// Returns lists of the running and the waiting jobs with their reasons. The reason of a running
/// job marks borrowers.
fn job_lines(jobs: &[&Value]) -> String {
    let mut lines = String::new();
    for (title, phase) in [("running jobs", "running"), ("waiting jobs", "queued")] {
        let matching: Vec<_> = jobs
            .iter()
            .filter(|job| job["status"]["phase"] == phase)
            .collect();
        let _ = writeln!(lines, "{title} {}", matching.len());
        for job in matching {
            let reason = &job["status"]["reason"];
            let _ = writeln!(
                lines,
                "  {}: {}",
                text(&job["name"]),
                text(&reason["message"])
            );
        }
    }
    lines
}

/// Returns the guarantees of all workspaces: how many accelerators are covered, suspended and in
/// use.
fn guarantee_lines(workspaces: &[Value]) -> String {
    let mut lines = String::from("guarantees of the region\n");
    for workspace in workspaces {
        let status = &workspace["status"];
        let (guaranteed, suspended) = (status["guaranteed"].as_u64(), status["suspended"].as_u64());
        let Some((guaranteed, suspended)) = guaranteed.zip(suspended) else {
            continue;
        };
        let _ = writeln!(
            lines,
            "  {}: {} covered, {suspended} suspended, {} in use",
            text(&workspace["name"]),
            guaranteed.saturating_sub(suspended),
            text(&status["used"]),
        );
    }
    lines
}
