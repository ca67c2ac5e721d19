//! Load and experiments.
//!
//! Each sub-command is a module with `command`, which declares its arguments, and `run`.

mod load;

use clap::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = Command::new("godwitstep-lab")
        .about("Load and experiments on the loopback interface")
        .subcommand_required(true)
        .subcommand(load::command())
        .get_matches();
    let result = match matches.subcommand() {
        Some(("load", given)) => load::run(given),
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
