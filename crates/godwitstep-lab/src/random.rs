//! `random`: random work and random faults against the real planner, checked after each event.

use crate::policy::Factory;
use crate::world::{Breakage, World};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use godwitstep_core::planner::{Planner, Settings};
use serde::Serialize;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::time::{Duration, Instant};

mod act;
mod drain;
mod load;
mod region;
mod storm;

use act::Act;

/// Events that a run may take to finish its jobs after the faults have stopped.
const DRAIN_EVENTS: u64 = 3_000_000;

/// What a run is to do.
#[derive(Debug, Clone)]
pub struct Options {
    seed: u64,
    events: u64,
    breakage: Breakage,
    watch: Option<String>,
    keep_going: bool,
}

impl Options {
    /// Returns options for a run of so many events under faults.
    #[must_use]
    pub fn new(seed: u64, events: u64) -> Self {
        Self {
            seed,
            events,
            breakage: Breakage::default(),
            watch: None,
            keep_going: false,
        }
    }

    /// Breaks agents or deciders on purpose.
    #[must_use]
    pub fn breakage(mut self, breakage: Breakage) -> Self {
        self.breakage = breakage;
        self
    }
}

/// What a run has seen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Seed of the run.
    pub seed: u64,
    /// Events in all, those after the end of the faults included.
    pub events: u64,
    /// Events under faults.
    pub fault_events: u64,
    /// Virtual time of the run. Unit: seconds.
    pub virtual_s: u64,
    /// Hash of all events and actions.
    pub trace_hash: String,
    /// Jobs accepted.
    pub jobs: usize,
    /// Jobs by final phase.
    pub ends: BTreeMap<String, u64>,
    /// Faults by kind, and other counts.
    pub counts: BTreeMap<&'static str, u64>,
    /// Checks that failed, by name.
    pub violations: BTreeMap<&'static str, u64>,
    /// What broke first, if anything did.
    pub broken: Option<Broken>,
}

/// What broke first in a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Seed of the run.
    pub seed: u64,
    /// Number of the event.
    pub event: u64,
    /// What did not hold.
    pub what: String,
    /// The last events up to it.
    pub last_events: Vec<String>,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            seed, event, what, ..
        } = self;
        write!(f, "seed {seed} broke at event {event}: {what}")?;
        for line in &self.last_events {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}

impl Error for Broken {}

/// A run under way.
struct Run {
    world: World,
    acts: Vec<Act>,
    /// Whether faults still come.
    storm: bool,
    /// Whether new jobs still come.
    open: bool,
}

/// Runs once.
#[must_use]
pub fn simulate(options: &Options) -> Outcome {
    let factory: Factory = Box::new(|seed| Box::new(Planner::new(Settings::default(), seed)));
    let mut world = World::new(options.seed, factory);
    world.breakage = options.breakage;
    world.watch.clone_from(&options.watch);
    let mut run = Run {
        world,
        acts: Vec::new(),
        storm: true,
        open: true,
    };
    run.set_up();
    let stop = |run: &Run| run.world.broken.is_some() && !options.keep_going;
    while run.world.events < options.events && !stop(&run) {
        run.step();
    }
    let fault_events = run.world.events;
    if !stop(&run) {
        run.drain(fault_events + DRAIN_EVENTS, options.keep_going);
    }
    run.outcome(options.seed, fault_events)
}

impl Run {
    fn step(&mut self) {
        if let Some(code) = self.world.step() {
            self.act(code);
        }
    }

    fn outcome(&self, seed: u64, fault_events: u64) -> Outcome {
        let world = &self.world;
        let mut ends = BTreeMap::new();
        for job in &world.jobs {
            let phase = format!("{:?}", job.phase).to_lowercase();
            *ends.entry(phase).or_default() += 1;
        }
        let broken = world.broken.clone().map(|fault| Broken {
            seed,
            event: fault.event,
            what: fault.what,
            last_events: fault.last_events,
        });
        Outcome {
            seed,
            events: world.events,
            fault_events,
            virtual_s: world.now.as_secs(),
            trace_hash: format!("{:016x}", world.trace()),
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
        .arg(number("seed", "Seed of the run", "1"))
        .arg(number("events", "Events under faults", "1000000"))
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

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).help(help).default_value(default);
    arg.value_parser(value_parser!(u64))
}

/// Carries out the sub-command.
///
/// # Errors
///
/// Returns what broke, with the seed, the number of the event and the last events.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let start = Instant::now();
    let mut options = Options::new(value("seed"), value("events"));
    options.watch = matches.get_one::<String>("watch").cloned();
    options.keep_going = matches.get_flag("keep-going");
    let outcome = simulate(&options);
    let wall = round(start.elapsed());
    let mut object = serde_json::to_value(&outcome)?;
    if let Some(map) = object.as_object_mut() {
        map.insert("wall_s".into(), wall.into());
    }
    println!("{object}");
    match outcome.broken {
        None => Ok(()),
        Some(broken) => Err(broken.into()),
    }
}

fn round(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000.0).round() / 1_000.0
}
