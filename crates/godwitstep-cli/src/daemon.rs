//! Start of the daemons: settings, then telemetry, then the role.

use crate::check::read;
use crate::command::override_id;
use crate::failure::Failure;
use clap::ArgMatches;
use godwitstep::settings::{self, Agent, Entry, Override, Settings};
use godwitstep::telemetry;

/// Runs an entry until it is told to stop.
pub fn entry(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Entry = load(matches)?;
    start(settings.log_format, settings.log_level)?;
    Err(missing("entry"))
}

/// Runs an agent until it is told to stop.
pub fn agent(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Agent = load(matches)?;
    start(settings.log_format, settings.log_level)?;
    Err(missing("agent"))
}

/// Runs all roles in one process over loopback sockets.
pub fn demo() -> Result<(), Failure> {
    Err(missing("demo"))
}

fn missing(role: &str) -> Failure {
    Failure::Failed(format!("the role {role} is not part of this build"))
}

fn load<S: Settings>(matches: &ArgMatches) -> Result<S, Failure> {
    let file = matches.get_one::<String>("settings");
    let file = file.ok_or_else(|| Failure::Usage("--settings is missing".to_owned()))?;
    let text = read(file)?;
    settings::read(&text, &overrides::<S>(matches)).map_err(|faults| Failure::Faults {
        file: file.clone(),
        faults,
    })
}

fn overrides<S: Settings>(matches: &ArgMatches) -> Vec<Override> {
    settings::flags(S::KEYS)
        .into_iter()
        .filter_map(|(path, _)| {
            let value = matches.get_one::<String>(&override_id(&path))?;
            Some((path, value.clone()))
        })
        .collect()
}

fn start(format: telemetry::Format, level: telemetry::Level) -> Result<(), Failure> {
    telemetry::start(format, level).map_err(|error| Failure::Failed(error.to_string()))
}
