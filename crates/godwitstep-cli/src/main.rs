//! Command `godwitstep`: the daemons, validation of settings and resource files, and the operator
//! commands.

mod check;
mod client;
mod command;
mod daemon;
mod demo;
mod failure;
mod operator;
mod output;
mod report;

use clap::ArgMatches;
use failure::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = command::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            failure.print();
            ExitCode::from(failure.code())
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), Failure> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Failure::Usage("a command is missing".to_owned()));
    };
    match name {
        "entry" => daemon::entry(matches),
        "agent" => daemon::agent(matches),
        "demo" => demo::run(),
        "check" => check::run(matches),
        "reference" => output::print(&godwitstep::settings::reference()),
        name => smol::block_on(operator::run(name, matches)),
    }
}
