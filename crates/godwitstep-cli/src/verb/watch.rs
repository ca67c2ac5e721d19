//! A watch that outlives its connections.

use super::filter::Filter;
use super::row::text;
use super::{collection, wants_json};
use crate::client::{Client, End, Lines};
use crate::failure::Failure;
use crate::output;
use clap::ArgMatches;
use serde_json::Value;
use smol::Timer;
use std::time::Duration;

/// First and longest delay between attempts to connect.
const DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Follows changes until the command is stopped.
pub async fn run(client: &Client, matches: &ArgMatches) -> Result<(), Failure> {
    let collection = collection(matches)?;
    let filter = Filter::new(collection, matches)?;
    let path = format!("/v1/{collection}?watch=true{}", filter.query());
    let json = wants_json(matches);
    let mut from = matches.get_one::<u64>("from").copied();
    let mut delay = DELAY.0;
    for server in client.addresses().into_iter().cycle() {
        let from_now = from.map_or_else(String::new, |from| format!("&from={from}"));
        let end = match Lines::open(server, &format!("{path}{from_now}")).await {
            Ok(mut lines) => loop {
                match lines.next().await {
                    Ok(event) => {
                        delay = DELAY.0;
                        from = event["version"].as_u64().or(from);
                        let put = event["type"] == "put";
                        if !put || filter.takes(&event["object"]) {
                            show(&event, json)?;
                        }
                    }
                    Err(end) => break end,
                }
            },
            Err(end) => end,
        };
        match end {
            End::Refused(failure) => return Err(failure),
            End::Lost(reason) => eprintln!("watch interrupted: {reason}; trying again"),
        }
        Timer::after(delay).await;
        delay = (delay * 2).min(DELAY.1);
    }
    Ok(())
}

fn show(event: &Value, json: bool) -> Result<(), Failure> {
    let object = &event["object"];
    match event["type"].as_str() {
        Some("relist") => Err(Failure::Failed(format!(
            "changes before version {} are no longer kept; list again",
            event["version"]
        ))),
        _ if json => output::line(&event.to_string()),
        Some("bookmark") => Ok(()),
        _ => {
            let status = &object["status"];
            let shown = [
                &event["version"],
                &event["type"],
                &object["name"],
                &status["phase"],
                &status["reason"]["message"],
            ];
            let words: Vec<_> = shown.into_iter().map(text).collect();
            output::line(words.join("  ").trim_end_matches("  -"))
        }
    }
}
