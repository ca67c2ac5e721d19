//! Load tests and measurements of real processes, and experiments with the planner.
//!
//! Each sub-command is a module with two functions: `command` defines its arguments and `run`
//! executes it.

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
        Some(("compare", arguments)) => compare::run(arguments),
        Some(("load", arguments)) => load::run(arguments),
        Some(("random", arguments)) => random::run(arguments),
        Some(("scale", arguments)) => scale::run(arguments),
        Some(("slopes", arguments)) => slopes::run(arguments),
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
