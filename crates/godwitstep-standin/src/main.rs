//! Runs one stand-in as a process.
//!
//! Prints one JSON line with its addresses to standard output once it accepts connections, and logs
//! to standard error.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use godwitstep_standin::{log, proxy, target, worker};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_env_filter(
            tracing_subscriber::EnvFilter::try_from_default_env()
                .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info")),
        )
        .init();
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("log", args)) => run_log(args),
        Some(("target", args)) => run_target(args),
        Some(("worker", args)) => run_worker(args),
        Some(("proxy", args)) => run_proxy(args),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start the stand-in");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let log = subcommand("log", "Serves the platform's log").arg(integer_option(
        "retention",
        "100000",
        "Maximum number of records that each stream retains",
    ));
    let target = subcommand("target", "Serves requests")
        .arg(integer_option(
            "service-us",
            "0",
            "Service time in microseconds, or its mean with --exponential",
        ))
        .arg(
            Arg::new("exponential")
                .long("exponential")
                .action(ArgAction::SetTrue)
                .help("Draws exponentially distributed service times"),
        )
        .arg(integer_option(
            "slots",
            "8",
            "Maximum number of requests that run at a time",
        ))
        .arg(integer_option(
            "connections",
            "256",
            "Maximum number of open connections",
        ))
        .arg(integer_option("seed", "1", "Seed of the service times"));
    let worker = subcommand("worker", "Runs tasks under a lease")
        .arg(integer_option(
            "accelerators",
            "8",
            "Number of accelerators of the machine",
        ))
        .arg(integer_option(
            "usage-delay-ms",
            "0",
            "Age of the reported usage in milliseconds",
        ))
        .arg(integer_option(
            "checkpoint-ms",
            "200",
            "Duration of a checkpoint in milliseconds",
        ));
    let proxy = subcommand("proxy", "Forwards TCP connections and injects faults")
        .arg(address_option("upstream", "Address that connections are forwarded to").required(true))
        .arg(
            address_option("control", "Address of the control interface")
                .default_value("127.0.0.1:0"),
        )
        .arg(integer_option(
            "seed",
            "1",
            "Seed of the jitter and of the random faults",
        ))
        .arg(integer_option(
            "fault-every-ms",
            "0",
            "Mean time between random faults in milliseconds; 0 for no faults",
        ))
        .arg(integer_option(
            "fault-length-ms",
            "1000",
            "Mean duration of a random fault in milliseconds",
        ));
    Command::new("godwitstep-standin")
        .about("Stand-ins for the platform, for tests and demonstrations")
        .subcommand_required(true)
        .subcommands([log, target, worker, proxy])
}

/// Returns a subcommand with the option `--listen`.
fn subcommand(name: &'static str, about: &'static str) -> Command {
    let listen = address_option(
        "listen",
        "Address to listen on; port 0 selects any free port",
    );
    Command::new(name)
        .about(about)
        .arg(listen.default_value("127.0.0.1:0"))
}

fn address_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn integer_option(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32))
        .default_value(default)
        .help(help)
}

fn integer_value(args: &ArgMatches, name: &str) -> u32 {
    args.get_one(name).copied().unwrap_or_default()
}

fn size_value(args: &ArgMatches, name: &str) -> usize {
    usize::try_from(integer_value(args, name)).unwrap_or(usize::MAX)
}

fn address_value(args: &ArgMatches, name: &str) -> SocketAddr {
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    args.get_one(name).copied().unwrap_or(fallback)
}

/// Prints the JSON line that contains the addresses of the stand-in.
fn print_addresses(value: &serde_json::Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{value}")?;
    out.flush()
}

fn run_log(args: &ArgMatches) -> io::Result<()> {
    let mut settings = log::Settings {
        listen: address_value(args, "listen"),
        ..log::Settings::default()
    };
    settings.faults.retention_records = size_value(args, "retention");
    let handle = log::Server::start(settings)?;
    print_addresses(&serde_json::json!({ "role": "log", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_target(args: &ArgMatches) -> io::Result<()> {
    let service_us = u64::from(integer_value(args, "service-us"));
    let mut settings = target::Settings {
        listen: address_value(args, "listen"),
        slots: size_value(args, "slots"),
        connections: size_value(args, "connections"),
        seed: u64::from(integer_value(args, "seed")),
        ..target::Settings::default()
    };
    settings.status.service = if args.get_flag("exponential") {
        target::ServiceTime::ExponentialUs(service_us)
    } else {
        target::ServiceTime::FixedUs(service_us)
    };
    let handle = target::Server::start(settings)?;
    print_addresses(&serde_json::json!({ "role": "target", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_worker(args: &ArgMatches) -> io::Result<()> {
    let mut settings = worker::Settings {
        listen: address_value(args, "listen"),
        ..worker::Settings::default()
    };
    settings.status.accelerators = integer_value(args, "accelerators");
    settings.status.usage_delay_ms = u64::from(integer_value(args, "usage-delay-ms"));
    settings.status.checkpoint_ms = u64::from(integer_value(args, "checkpoint-ms"));
    let handle = worker::Server::start(settings)?;
    print_addresses(&serde_json::json!({ "role": "worker", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_proxy(args: &ArgMatches) -> io::Result<()> {
    let millis = |name| Duration::from_millis(u64::from(integer_value(args, name)));
    let mean_interval = millis("fault-every-ms");
    let handle = proxy::Proxy::start(proxy::Settings {
        listen: address_value(args, "listen"),
        control: address_value(args, "control"),
        upstream: address_value(args, "upstream"),
        seed: u64::from(integer_value(args, "seed")),
        random_faults: (!mean_interval.is_zero()).then(|| proxy::RandomFaults {
            mean_interval,
            mean_duration: millis("fault-length-ms"),
        }),
    })?;
    print_addresses(&serde_json::json!({
        "role": "proxy",
        "address": handle.address,
        "control": handle.control_address,
    }))?;
    handle.join();
    Ok(())
}
