//! Cases of the review that are scripts. `review-standin-2 CASE RECORD` exits with 1 if a rule was broken, with 0 if it
//! held and with 2 if the case couldn't run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod cluster;
mod cut_gang;
mod gang;
mod http;
mod log;
mod long;
mod record;
mod resubmit;
mod runner;
mod shared_id;
mod watchdog;

use record::Record;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("{path} can't be written");
        return ExitCode::from(2);
    };
    watchdog::start();
    let verdict = match case.as_str() {
        "resubmit" => resubmit::run(&record, trouble),
        "shared-id" => shared_id::run(&record, trouble),
        "long" => long::run(&record, trouble),
        "cut-gang" => cut_gang::run(&record, trouble),
        _ => Ok(Verdict::NotRun(format!("no case {case}"))),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(what)) => (1, format!("the rule was broken: {what}")),
        Ok(Verdict::NotRun(why)) => (2, format!("the case couldn't run: {why}")),
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}
