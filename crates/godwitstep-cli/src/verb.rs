//! The operators' verbs.

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
mod row;
mod watch;

/// Runs a verb of the command line.
pub async fn run(verb: &str, matches: &ArgMatches) -> Result<(), Failure> {
    if let ("domain", Some((way, matches))) = (verb, matches.subcommand()) {
        return domain::run(&Client::new(matches)?, way == "in", matches).await;
    }
    if verb == "report" {
        return report::run(matches).await;
    }
    let client = Client::new(matches)?;
    match verb {
        "apply" => apply::run(&client, matches).await,
        "get" => get::run(&client, matches).await,
        "describe" => describe::run(&client, matches).await,
        "watch" => watch::run(&client, matches).await,
        "cancel" => cancel(&client, matches).await,
        other => Err(Failure::Usage(format!("unknown command {other}"))),
    }
}

/// Cancels each job, also if one before it could not be cancelled.
async fn cancel(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let mut failure = None;
    for job in matches.get_many::<String>("job").into_iter().flatten() {
        let path = format!("/v1/jobs/{job}");
        let answer = client.send(Method::DELETE, &path, None, None).await;
        match answer.and_then(|answer| answer.expect(&format!("job {job}"))) {
            Ok(object) => {
                let phase = object["status"]["phase"].as_str().unwrap_or("unknown");
                let text = match phase {
                    "running" => "is being cancelled".to_owned(),
                    phase => format!("is {phase}"),
                };
                output::line(&format!("job {job} {text}"))?;
            }
            Err(error) => {
                if let Some(earlier) = failure.replace(error) {
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
        .is_some_and(|form| form == "json")
}

fn collection(matches: &ArgMatches) -> Result<Collection, Failure> {
    let kind = matches.get_one::<String>("kind").map_or("", String::as_str);
    kind.parse()
        .map_err(|error| Failure::Usage(format!("{kind}: {error}")))
}
