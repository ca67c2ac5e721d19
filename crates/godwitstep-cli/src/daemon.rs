//! Startup of the daemons: settings, then telemetry, then the role.

use crate::check::read_file;
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

/// Runs an entry until the process receives a stop signal.
pub fn entry(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Entry = load_settings(matches)?;
    start_telemetry(settings.log_format, settings.log_level)?;
    let clock = Arc::new(clock::System::new());
    run_with_stop_signal(|stop| godwitstep::entry::run(settings, clock, stop))
}

/// Runs an agent until the process receives a stop signal.
pub fn agent(matches: &ArgMatches) -> Result<(), Failure> {
    let settings: Agent = load_settings(matches)?;
    start_telemetry(settings.log_format, settings.log_level)?;
    let clock = Arc::new(clock::System::new());
    run_with_stop_signal(|stop| godwitstep::agent::run(settings, clock, stop))
}

/// Runs a role on this thread until it ends. SIGTERM and SIGINT close the stop channel of the role.
fn run_with_stop_signal<F, E>(role: impl FnOnce(Receiver<()>) -> F) -> Result<(), Failure>
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let failed = |error: &dyn std::fmt::Display| Failure::Failed(error.to_string());
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| failed(&error))?;
    let (sender, stop) = smol::channel::bounded(1);
    let close_on_signal = async {
        if let Some(Ok(signal)) = signals.next().await {
            tracing::info!(?signal, "stopping on signal");
        }
        sender.close();
        std::future::pending().await
    };
    let result = smol::block_on(smol::future::or(role(stop), close_on_signal));
    result.map_err(|error| failed(&error))
}

fn load_settings<S: Settings>(matches: &ArgMatches) -> Result<S, Failure> {
    let file = matches.get_one::<String>("settings");
    let file = file.ok_or_else(|| Failure::Usage("--settings is missing".to_owned()))?;
    let text = read_file(file)?;
    settings::read(&text, &overrides::<S>(matches)).map_err(|faults| Failure::Faults {
        file: file.clone(),
        faults,
    })
}

/// Returns the settings that flags of the command line override.
fn overrides<S: Settings>(matches: &ArgMatches) -> Vec<Override> {
    settings::flags(S::KEYS)
        .into_iter()
        .filter_map(|(path, _)| {
            let value = matches.get_one::<String>(&override_id(&path))?;
            Some((path, value.clone()))
        })
        .collect()
}

fn start_telemetry(format: telemetry::Format, level: telemetry::Level) -> Result<(), Failure> {
    telemetry::start(format, level).map_err(|error| Failure::Failed(error.to_string()))
}
