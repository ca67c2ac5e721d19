//! Start of the daemons: settings, then telemetry, then the role.

use crate::check::read;
use crate::command::override_id;
use crate::failure::Failure;
use async_signal::{Signal, Signals};
use clap::ArgMatches;
use godwitstep::settings::{self, Agent, Entry, Override, Settings};
use godwitstep::telemetry;
use godwitstep_core::clock;
use smol::channel::Receiver;
use smol::stream::StreamExt;
use std::sync::Arc;

/// Runs an entry until it is told to stop.
pub fn entry(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Entry = load(matches)?;
    start(settings.log_format, settings.log_level)?;
    let clock = Arc::new(clock::System::new());
    run(|stop| godwitstep::entry::run(settings, clock, stop))
}

/// Runs an agent until it is told to stop.
pub fn agent(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Agent = load(matches)?;
    start(settings.log_format, settings.log_level)?;
    let clock = Arc::new(clock::System::new());
    run(|stop| godwitstep::agent::run(settings, clock, stop))
}

/// Runs a role on this thread until the process is told to stop.
fn run<F, E>(role: impl FnOnce(Receiver<()>) -> F) -> Result<(), Failure>
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let failed = |error: &dyn std::fmt::Display| Failure::Failed(error.to_string());
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| failed(&error))?;
    let (sender, stop) = smol::channel::bounded(1);
    let watch = async {
        if let Some(Ok(signal)) = signals.next().await {
            tracing::info!(?signal, "told to stop");
        }
        sender.close();
        std::future::pending().await
    };
    let result = smol::block_on(smol::future::or(role(stop), watch));
    result.map_err(|error| failed(&error))
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
