//! Failure domains in and out of service.

use crate::client::Client;
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use hyper::Method;
use serde_json::json;

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
            return output::print(&output::outline(&shown, 0));
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
