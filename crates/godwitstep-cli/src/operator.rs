//! Commands for operators.

use crate::client::Client;
use crate::failure::Failure;
use crate::{output, report};
use clap::ArgMatches;
use godwitstep::resources::Collection;
use hyper::Method;

mod apply;
mod describe;
mod domain;
mod filter;
mod get;
mod table_row;
mod watch;

/// Runs an operator command of the command line.
pub async fn run(name: &str, matches: &ArgMatches) -> Result<(), Failure> {
    if let ("domain", Some((direction, matches))) = (name, matches.subcommand()) {
        return domain::run(&Client::new(matches)?, direction == "in", matches).await;
    }
    if name == "report" {
        return report::run(matches).await;
    }
    let client = Client::new(matches)?;
    match name {
        "apply" => apply::run(&client, matches).await,
        "get" => get::run(&client, matches).await,
        "describe" => describe::run(&client, matches).await,
        "watch" => watch::run(&client, matches).await,
        "cancel" => cancel(&client, matches).await,
        other => Err(Failure::Usage(format!("unknown command {other}"))),
    }
}

/// Cancels each job, even if an earlier one could not be cancelled.
async fn cancel(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let mut failure = None;
    for job in matches.get_many::<String>("job").into_iter().flatten() {
        let path = format!("/v1/jobs/{job}");
        let response = client.send(Method::DELETE, &path, None, None).await;
        match response.and_then(|response| response.into_body(&format!("job {job}"))) {
            Ok(object) => {
                let phase = object["status"]["phase"].as_str().unwrap_or("unknown");
                let state = match phase {
                    "running" => "is being cancelled".to_owned(),
                    phase => format!("is {phase}"),
                };
                output::print_line(&format!("job {job} {state}"))?;
            }
            Err(current) => {
                if let Some(earlier) = failure.replace(current) {
                    earlier.print();
                }
            }
        }
    }
    failure.map_or(Ok(()), Err)
}

fn wants_json(matches: &ArgMatches) -> bool {
    matches
        .get_one::<String>("output")
        .is_some_and(|format| format == "json")
}

fn collection(matches: &ArgMatches) -> Result<Collection, Failure> {
    let kind = matches.get_one::<String>("kind").map_or("", String::as_str);
    kind.parse()
        .map_err(|error| Failure::Usage(format!("{kind}: {error}")))
}
