//! `godwitstep-lab`: load and experiments.

use clap::Command;
use godwitstep_lab::{compare, random, scale};
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = Command::new("godwitstep-lab")
        .about("Load and experiments")
        .subcommand_required(true)
        .subcommand(compare::command())
        .subcommand(random::command())
        .subcommand(scale::command());
    match command.get_matches().subcommand() {
        Some(("compare", matches)) => compare::main(matches),
        Some(("random", matches)) => random::main(matches),
        Some(("scale", matches)) => scale::main(matches),
        _ => ExitCode::FAILURE,
    }
}
