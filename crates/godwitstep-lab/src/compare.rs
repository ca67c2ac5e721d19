//! Sub-command `compare`: simulates the same work under several scheduling policies.

use clap::{Arg, ArgMatches, Command, value_parser};
use serde::Serialize;
use std::path::PathBuf;

mod arrivals;
mod baseline;
mod fleet;
mod measure;
mod median;
mod plot;
mod run;
mod scenario;

pub use measure::Measures;
pub use scenario::{Departure, Error, FailureDomain, Scenario, Stream};

/// Scenario that is simulated if no file is given.
const DEFAULT_SCENARIO: &str = include_str!("../../../examples/scenarios/pilbara-coast.json");

/// Result of one policy over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// Median of each measure over the seeds.
    #[serde(flatten)]
    pub measures: Measures,
    /// Seeds for which an invariant of the simulated region was violated, each with the first
    /// violation.
    #[serde(rename = "broken", skip_serializing_if = "Vec::is_empty")]
    pub violations: Vec<(u64, String)>,
}

/// Simulates a scenario under each policy, once for each of `seeds` seeds from `seed` on.
#[must_use]
pub fn compare(scenario: &Scenario, seed: u64, seeds: u64) -> Vec<PolicyResult> {
    let results = run::POLICIES.into_iter().map(|policy| {
        let mut violations = Vec::new();
        let mut measures = Vec::new();
        for seed in seed..seed + seeds {
            let (run_measures, violation) = run::simulate(scenario, policy, seed);
            measures.push(run_measures);
            violations.extend(violation.map(|violation| (seed, violation)));
        }
        PolicyResult {
            scenario: scenario.name.clone(),
            policy,
            seed,
            seeds,
            measures: median::median_measures(&measures),
            violations,
        }
    });
    results.collect()
}

/// Returns the definition of the sub-command.
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
        .about("Compares scheduling policies on the same simulated work")
        .arg(number("seed", "First seed"))
        .arg(number(
            "seeds",
            "Number of seeds; medians over them are printed",
        ))
        .arg(path(
            "scenario",
            "Scenario file; an example is used if none is given",
        ))
        .arg(path("plot", "SVG file to write a bar chart to"))
}

/// Runs the sub-command and prints one JSON object for each policy.
///
/// # Errors
///
/// Returns an error if the scenario can't be read or the chart can't be written.
pub fn run(matches: &ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let value = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let text = match matches.get_one::<PathBuf>("scenario") {
        None => DEFAULT_SCENARIO.to_owned(),
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
    };
    let scenario = Scenario::parse(&text)?;
    let results = compare(&scenario, value("seed"), value("seeds").max(1));
    for result in &results {
        println!("{}", serde_json::to_string(result)?);
    }
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot::draw(path, &scenario.name, &results)?;
    }
    Ok(())
}
