//! The commands `domain in` and `domain out`: put failure domains in and out of service.

use super::table_row::text;
use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use hyper::Method;
use serde_json::{Value, json};
use std::fmt::Write;

/// Maximum number of attempts to change a domain that others change at the same time.
const MAX_ATTEMPTS: usize = 5;

/// Puts a failure domain in or out of service, without losing another operator's change.
pub async fn run(client: &Client, in_service: bool, matches: &ArgMatches) -> Result<(), Failure> {
    let name = matches.get_one::<String>("name").map_or("", String::as_str);
    let path = format!("/v1/domains/{name}");
    let dry_run = matches.get_flag("dry-run");
    let request_path = if dry_run {
        format!("{path}?dry_run=true")
    } else {
        path.clone()
    };
    let domain = format!("domain {name}");
    for attempt in 1.. {
        let object = client.get(&path).await?;
        let mut spec = object["spec"].clone();
        if !in_service && !dry_run && !matches.get_flag("force") {
            ensure_not_last(client, name, &spec["region"]).await?;
        }
        spec["in_service"] = in_service.into();
        let body = json!({"spec": spec});
        let version = object["version"].as_u64();
        let response = client
            .send(Method::PUT, &request_path, version, Some(&body))
            .await?;
        if response.status == 409 && attempt < MAX_ATTEMPTS {
            continue;
        }
        let change = response.change.clone();
        let object = response.into_body(&domain)?;
        if dry_run {
            return output::print(&format_dry_run(&domain, in_service, &object));
        }
        let state = if in_service { "in" } else { "out of" };
        let already = match change.as_deref() {
            Some("unchanged") => " already",
            _ => "",
        };
        let version = &object["version"];
        return output::print_line(&format!(
            "{domain} is{already} {state} service (version {version})"
        ));
    }
    Ok(())
}

/// Returns a failure if no failure domain of the region would remain in service.
async fn ensure_not_last(client: &Client, name: &str, region: &Value) -> Result<(), Failure> {
    let list = client.get("/v1/domains?limit=5000").await?;
    let domains = list["items"].as_array().map_or(&[][..], Vec::as_slice);
    let others = domains.iter().filter(|domain| {
        let spec = &domain["spec"];
        domain["name"] != name && spec["region"] == *region && spec["in_service"] == true
    });
    let current = domains.iter().find(|domain| domain["name"] == name);
    let in_service = current.is_some_and(|domain| domain["spec"]["in_service"] == true);
    if others.count() > 0 || !in_service {
        return Ok(());
    }
    Err(Failure::Failed(format!(
        "domain {name} is the last one in service of region {}; nothing could run there: put \
         another one into service first, or repeat with --force",
        text(region)
    )))
}

/// Formats the effect that a change would have.
fn format_dry_run(domain: &str, in_service: bool, preview: &Value) -> String {
    let effect = &preview["effect"];
    let direction = if in_service { "into" } else { "out of" };
    let mut output_text = match preview["change"].as_str() {
        Some("none") => format!("{domain} (dry run): no change\n"),
        _ => format!("{domain} (dry run): would be put {direction} service\n"),
    };
    let _ = writeln!(
        output_text,
        "  workers in it {}, workers in service afterwards {}",
        text(&effect["workers"]),
        text(&effect["workers_left"])
    );
    let elements = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let moved: Vec<String> = elements(&effect["jobs_moved"]).iter().map(text).collect();
    let _ = writeln!(
        output_text,
        "  jobs that would move: {}",
        or_none(&moved.join(", "))
    );
    let suspended = elements(&effect["guarantees_suspended"]);
    let suspended: Vec<String> = suspended
        .iter()
        .map(|shortfall| {
            format!(
                "{} (needs {}, {} left)",
                text(&shortfall["workspace"]),
                text(&shortfall["needed"]),
                text(&shortfall["available"])
            )
        })
        .collect();
    let _ = writeln!(
        output_text,
        "  guarantees that would be suspended: {}",
        or_none(&suspended.join(", "))
    );
    output_text
}

/// Returns the text, or `none` if it is empty.
const fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}
