//! `godwitstep-lab`: load and experiments.

use clap::Command;
use godwitstep_lab::random;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = Command::new("godwitstep-lab")
        .about("Load and experiments")
        .subcommand_required(true)
        .subcommand(random::command());
    match command.get_matches().subcommand() {
        Some(("random", matches)) => random::main(matches),
        _ => ExitCode::FAILURE,
    }
}
