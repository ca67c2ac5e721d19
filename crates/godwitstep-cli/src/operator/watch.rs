//! The command `watch`: follows changes and reconnects when the connection is lost.

use super::filter::Filter;
use super::table_row::text;
use super::{collection, wants_json};
use crate::client::{Client, JsonLines, StreamError};
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use serde_json::Value;
use smol::Timer;
use std::time::Duration;

/// Initial and maximum delay between connection attempts.
const RECONNECT_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Prints changes until the process is stopped or a server refuses the watch.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let collection = collection(matches)?;
    let filter = Filter::new(collection, matches)?;
    let path = format!("/v1/{collection}?watch=true{}", filter.query());
    let json = wants_json(matches);
    let mut from = matches.get_one::<u64>("from").copied();
    let mut delay = RECONNECT_DELAY.0;
    for server in client.addresses().into_iter().cycle() {
        let from_parameter = from.map_or_else(String::new, |from| format!("&from={from}"));
        let error = match JsonLines::open(server, &format!("{path}{from_parameter}")).await {
            Ok(mut lines) => loop {
                match lines.next().await {
                    Ok(event) => {
                        delay = RECONNECT_DELAY.0;
                        from = event["version"].as_u64().or(from);
                        let is_put = event["type"] == "put";
                        if !is_put || filter.accepts(&event["object"]) {
                            print_event(&event, json)?;
                        }
                    }
                    Err(error) => break error,
                }
            },
            Err(error) => error,
        };
        match error {
            StreamError::Refused(failure) => return Err(failure),
            StreamError::Interrupted(reason) => {
                eprintln!("watch interrupted: {reason}; reconnecting");
            }
        }
        Timer::after(delay).await;
        delay = (delay * 2).min(RECONNECT_DELAY.1);
    }
    Ok(())
}

/// Prints a change, or a bookmark if the output is JSON. Fails if the changes to resume from are no
/// longer kept.
fn print_event(event: &Value, json: bool) -> Result<(), Failure> {
    let object = &event["object"];
    match event["type"].as_str() {
        Some("relist") => Err(Failure::Failed(format!(
            "changes before version {} are no longer kept; list again",
            event["version"]
        ))),
        _ if json => output::print_line(&event.to_string()),
        Some("bookmark") => Ok(()),
        _ => {
            let status = &object["status"];
            let values = [
                &event["version"],
                &event["type"],
                &object["name"],
                &status["phase"],
                &status["reason"]["message"],
            ];
            let columns: Vec<_> = values.into_iter().map(text).collect();
            output::print_line(columns.join("  ").trim_end_matches("  -"))
        }
    }
}
