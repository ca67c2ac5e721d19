//! Failure domains in and out of service.

use super::row::text;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use hyper::Method;
use serde_json::{Value, json};
use std::fmt::Write;

/// Attempts to change a domain that others change at the same time.
const ATTEMPTS: usize = 5;

/// Puts a failure domain in or out of service, without losing another operator's change.
pub async fn run(client: &Client, in_service: bool, matches: &ArgMatches) -> Result<(), Failure> {
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let path = format!("/v1/domains/{name}");
    let dry_run = matches.get_flag("dry-run");
    let target = if dry_run {
        format!("{path}?dry_run=true")
    } else {
        path.clone()
    };
    let what = format!("domain {name}");
    for attempt in 1.. {
        let object = client.get(&path).await?;
        let mut spec = object["spec"].clone();
        if !in_service && !dry_run && !matches.get_flag("force") {
            check_last(client, name, &spec["region"]).await?;
        }
        spec["in_service"] = in_service.into();
        let body = json!({"spec": spec});
        let version = object["version"].as_u64();
        let answer = client
            .send(Method::PUT, &target, version, Some(&body))
            .await?;
        if answer.status == 409 && attempt < ATTEMPTS {
            continue;
        }
        let change = answer.change.clone();
        let shown = answer.expect(&what)?;
        if dry_run {
            return output::print(&rehearsal(&what, in_service, &shown));
        }
        let state = if in_service { "in" } else { "out of" };
        let since = match change.as_deref() {
            Some("unchanged") => " already",
            _ => "",
        };
        let version = &shown["version"];
        return output::line(&format!(
            "{what} is{since} {state} service (version {version})"
        ));
    }
    Ok(())
}

/// Refuses to take out the last failure domain in service of a region.
async fn check_last(client: &Client, name: &str, region: &Value) -> Result<(), Failure> {
    let list = client.get("/v1/domains?limit=5000").await?;
    let domains = list["items"].as_array().map_or(&[][..], Vec::as_slice);
    let others = domains.iter().filter(|domain| {
        let spec = &domain["spec"];
        domain["name"] != name && spec["region"] == *region && spec["in_service"] == true
    });
    let itself = domains.iter().find(|domain| domain["name"] == name);
    let in_service = itself.is_some_and(|domain| domain["spec"]["in_service"] == true);
    if others.count() > 0 || !in_service {
        return Ok(());
    }
    Err(Failure::Failed(format!(
        "domain {name} is the last one in service of region {}; nothing would run there: bring \
         another one in first, or repeat with --force",
        text(region)
    )))
}

/// Returns what a change would do.
fn rehearsal(what: &str, in_service: bool, shown: &Value) -> String {
    let effect = &shown["effect"];
    let way = if in_service { "into" } else { "out of" };
    let mut told = match shown["change"].as_str() {
        Some("none") => format!("{what} (dry run): no change\n"),
        _ => format!("{what} (dry run): would go {way} service\n"),
    };
    let _ = writeln!(
        told,
        "  workers in it {}, workers in service afterwards {}",
        text(&effect["workers"]),
        text(&effect["workers_left"])
    );
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let moved: Vec<String> = list(&effect["jobs_moved"]).iter().map(text).collect();
    let _ = writeln!(
        told,
        "  jobs that would move: {}",
        none_or(&moved.join(", "))
    );
    let suspended = list(&effect["guarantees_suspended"]);
    let suspended: Vec<String> = suspended
        .iter()
        .map(|lack| {
            format!(
                "{} (needs {}, {} left)",
                text(&lack["workspace"]),
                text(&lack["needed"]),
                text(&lack["available"])
            )
        })
        .collect();
    let _ = writeln!(
        told,
        "  guarantees that would be suspended: {}",
        none_or(&suspended.join(", "))
    );
    told
}

const fn none_or(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
