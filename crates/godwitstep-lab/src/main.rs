//! Load and experiments.
//!
//! Each sub-command is a module with `command`, which declares its arguments, and `run`.

mod load;
mod slopes;

use clap::Command;
use godwitstep_lab::{compare, random, scale};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("godwitstep-lab")
        .about("Load on the loopback interface, and experiments with the planner")
        .subcommand_required(true)
        .subcommand(compare::command())
        .subcommand(load::command())
        .subcommand(random::command())
        .subcommand(scale::command())
        .subcommand(slopes::command())
        .get_matches();
    let result = match matches.subcommand() {
        Some(("compare", given)) => compare::run(given),
        Some(("load", given)) => load::run(given),
        Some(("random", given)) => random::run(given),
        Some(("scale", given)) => scale::run(given),
        Some(("slopes", given)) => slopes::run(given),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("godwitstep-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
