//! `random`: random jobs and faults against the real planner, with checks after each event.

use crate::policy::Factory;
use crate::world::{InjectedBug, Violation, World};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use godwitstep_core::planner::{Planner, Settings};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::time::{Duration, Instant};

mod drain;
mod driver;
mod fault;
mod load;
mod region;

use driver::DriverAction;

/// Maximum number of events to finish all jobs after the faults have stopped, per event under faults.
/// Runs of 200,000 events needed less than a tenth of it.
const DRAIN_EVENTS_PER_FAULT_EVENT: u64 = 10;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    seed: u64,
    events: u64,
    injected_bug: InjectedBug,
    watch: Option<String>,
    keep_going: bool,
}

impl Options {
    /// Returns the options of a run with the given number of events under faults.
    #[must_use]
    pub fn new(seed: u64, events: u64) -> Self {
        Self {
            seed,
            events,
            injected_bug: InjectedBug::default(),
            watch: None,
            keep_going: false,
        }
    }

    /// Sets whether the run continues after a check has failed.
    #[must_use]
    pub fn keep_going(mut self, keep_going: bool) -> Self {
        self.keep_going = keep_going;
        self
    }

    /// Injects a bug into agents or deciders.
    #[must_use]
    pub fn injected_bug(mut self, injected_bug: InjectedBug) -> Self {
        self.injected_bug = injected_bug;
        self
    }
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of all events, including those after the end of the faults.
    pub events: u64,
    /// Number of events under faults.
    pub fault_events: u64,
    /// Virtual time of the run. Unit: seconds.
    pub virtual_s: u64,
    /// Hash of all events and actions.
    pub trace_hash: String,
    /// Number of accepted jobs.
    pub jobs: usize,
    /// Number of jobs in each phase at the end.
    pub ends: BTreeMap<String, u64>,
    /// Number of faults by kind, and other counts.
    pub counts: BTreeMap<&'static str, u64>,
    /// Checks that failed, by name.
    pub violations: BTreeMap<&'static str, Violation>,
    /// The first failure of a check, if any.
    pub broken: Option<RunFailure>,
}

/// The first failure of a check in a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RunFailure {
    /// Seed of the run.
    pub seed: u64,
    /// Number of the event at which the check failed.
    pub event: u64,
    /// Description of the failure.
    pub what: String,
    /// The last events up to that of the failure, oldest first.
    pub last_events: Vec<String>,
}

impl fmt::Display for RunFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed, event, what, ..
        } = self;
        write!(f, "seed {seed}: check failed at event {event}: {what}")?;
        for line in &self.last_events {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}

impl Error for RunFailure {}

/// A run in progress.
struct Run {
    world: World,
    /// Scheduled actions, indexed by their code.
    actions: Vec<DriverAction>,
    /// Whether the current part of the fault period has faults; operators make changes only then.
    faults_active: bool,
    /// Whether new jobs, claims, cancellations, faults and operator changes are generated.
    generating: bool,
}

/// Executes one run.
#[must_use]
pub fn simulate(options: &Options) -> Outcome {
    let factory: Factory = Box::new(|seed| Box::new(Planner::new(Settings::default(), seed)));
    let mut world = World::new(options.seed, factory);
    world.injected_bug = options.injected_bug;
    world.watch.clone_from(&options.watch);
    let mut run = Run {
        world,
        actions: Vec::new(),
        faults_active: true,
        generating: true,
    };
    run.set_up();
    let stopped = |run: &Run| run.world.broken.is_some() && !options.keep_going;
    while run.world.events < options.events && !stopped(&run) {
        run.step();
    }
    let fault_events = run.world.events;
    if !stopped(&run) {
        run.drain(
            fault_events * (1 + DRAIN_EVENTS_PER_FAULT_EVENT),
            options.keep_going,
        );
    }
    run.outcome(options.seed, fault_events)
}

impl Run {
    fn step(&mut self) {
        if let Some(code) = self.world.step() {
            self.execute_action(code);
        }
    }

    fn outcome(&self, seed: u64, fault_events: u64) -> Outcome {
        let world = &self.world;
        let mut ends = BTreeMap::new();
        for job in &world.jobs {
            let phase = format!("{:?}", job.phase).to_lowercase();
            *ends.entry(phase).or_default() += 1;
        }
        let broken = world.broken.clone().map(|failure| RunFailure {
            seed,
            event: failure.event,
            what: failure.what,
            last_events: failure.last_events,
        });
        Outcome {
            seed,
            events: world.events,
            fault_events,
            virtual_s: world.now.as_secs(),
            trace_hash: format!("{:016x}", world.trace_hash()),
            jobs: world.jobs.len(),
            ends,
            counts: world.counts.clone(),
            violations: world.violations.clone(),
            broken,
        }
    }
}

/// Returns the sub-command's definition.
#[must_use]
pub fn command() -> Command {
    Command::new("random")
        .about("Random work and faults against the planner, checked after each event")
        .arg(u64_argument("seed", "Seed of the run", "1"))
        .arg(u64_argument("events", "Events under faults", "1000000"))
        .arg(
            Arg::new("watch").long("watch").help(
                "Job or worker of which all events and actions are printed to standard error",
            ),
        )
        .arg(
            Arg::new("keep-going")
                .long("keep-going")
                .action(ArgAction::SetTrue)
                .help("Go on after a check has failed, and count failed checks"),
        )
}

fn u64_argument(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).help(help).default_value(default);
    arg.value_parser(value_parser!(u64))
}

/// Carries out the sub-command.
///
/// # Errors
///
/// Returns the first failure of a check, with the seed, the number of the event and the last events.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let start = Instant::now();
    let keep_going = matches.get_flag("keep-going");
    let mut options = Options::new(value("seed"), value("events")).keep_going(keep_going);
    options.watch = matches.get_one::<String>("watch").cloned();
    let outcome = simulate(&options);
    let wall_s = round_to_millis(start.elapsed());
    let mut object = serde_json::to_value(&outcome)?;
    if let Some(map) = object.as_object_mut() {
        map.insert("wall_s".into(), wall_s.into());
    }
    println!("{object}");
    match outcome.broken {
        None => Ok(()),
        Some(failure) => Err(failure.into()),
    }
}

fn round_to_millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).round() / 1_000.0
}
