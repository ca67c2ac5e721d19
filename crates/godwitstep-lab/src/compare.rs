//! `compare`: the same work under several policies.

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use std::path::PathBuf;

mod baseline;
mod measure;
mod median;
mod place;
mod plot;
mod run;
mod scenario;
mod work;

pub use measure::Measures;
pub use scenario::{Departure, Error, Scenario, Site, Stream};

/// The scenario that is run if no file is given.
const DEFAULT: &str = include_str!("../../../examples/scenarios/pilbara-coast.json");

/// Measures of one policy over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// First seed.
    pub seed: u64,
    /// Number of seeds; the measures are medians over them.
    pub seeds: u64,
    /// The measures.
    #[serde(flatten)]
    pub measures: Measures,
    /// Seeds on which a check of the fake region failed, with what it said.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub broken: Vec<(u64, String)>,
}

/// Runs a scenario under all policies.
#[must_use]
pub fn compare(scenario: &Scenario, seed: u64, seeds: u64) -> Vec<Line> {
    let lines = run::POLICIES.into_iter().map(|policy| {
        let mut broken = Vec::new();
        let mut measures = Vec::new();
        for seed in seed..seed + seeds {
            let (one, what) = run::run(scenario, policy, seed);
            measures.push(one);
            broken.extend(what.map(|what| (seed, what)));
        }
        Line {
            scenario: scenario.name.clone(),
            policy,
            seed,
            seeds,
            measures: median::of(&measures),
            broken,
        }
    });
    lines.collect()
}

/// Returns the sub-command's definition.
#[must_use]
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).help(help).default_value("1");
        arg.value_parser(value_parser!(u64))
    };
    let path = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).help(help);
        arg.value_parser(value_parser!(PathBuf))
    };
    Command::new("compare")
        .about("The same work under several policies")
        .arg(number("seed", "First seed"))
        .arg(number("seeds", "Number of seeds; medians are printed"))
        .arg(path("scenario", "Scenario file"))
        .arg(path("plot", "SVG file to draw the comparison into"))
}

/// Carries out the sub-command.
///
/// # Errors
///
/// Returns an error if the scenario can't be read or the drawing can't be written.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let text = match matches.get_one::<PathBuf>("scenario") {
        None => DEFAULT.to_owned(),
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
    };
    let scenario = Scenario::parse(&text)?;
    let lines = compare(&scenario, value("seed"), value("seeds").max(1));
    for line in &lines {
        println!("{}", serde_json::to_string(line)?);
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot::draw(path, &scenario.name, &lines)?;
    }
    Ok(())
}
