//! Runs one stand-in as a process.
//!
//! Prints one JSON line with its addresses on standard output once it serves, and logs to standard
//! error.

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
        Some(("log", given)) => run_log(given),
        Some(("target", given)) => run_target(given),
        Some(("worker", given)) => run_worker(given),
        Some(("proxy", given)) => run_proxy(given),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "cannot start");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let log = role("log", "Serves the platform's log").arg(integer(
        "retention",
        "100000",
        "Records that each stream retains",
    ));
    let target = role("target", "Serves requests")
        .arg(integer("service-us", "0", "Service time in microseconds"))
        .arg(
            Arg::new("exponential")
                .long("exponential")
                .action(ArgAction::SetTrue)
                .help("Draws service times with the mean of --service-us"),
        )
        .arg(integer("slots", "8", "Requests that run at a time"))
        .arg(integer("connections", "256", "Connections at a time"))
        .arg(integer("seed", "1", "Seed of the service times"));
    let worker = role("worker", "Runs tasks under a lease")
        .arg(integer("accelerators", "8", "Accelerators of the machine"))
        .arg(integer("usage-delay-ms", "0", "Age of reported usage"))
        .arg(integer(
            "checkpoint-ms",
            "200",
            "Time that a checkpoint takes",
        ));
    let proxy = role("proxy", "Passes TCP connections on and injects faults")
        .arg(address("upstream", "Address that connections are passed on to").required(true))
        .arg(address("control", "Address of the control interface").default_value("127.0.0.1:0"))
        .arg(integer("seed", "1", "Seed of jitter and of random faults"))
        .arg(integer(
            "fault-every-ms",
            "0",
            "Mean time between random faults; 0 for none",
        ))
        .arg(integer(
            "fault-length-ms",
            "1000",
            "Mean length of a random fault",
        ));
    Command::new("godwitstep-standin")
        .about("Stand-ins for the platform, for tests and demonstrations")
        .subcommand_required(true)
        .subcommands([log, target, worker, proxy])
}

fn role(name: &'static str, about: &'static str) -> Command {
    let listen = address("listen", "Address to serve; port 0 for any free one");
    Command::new(name)
        .about(about)
        .arg(listen.default_value("127.0.0.1:0"))
}

fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn integer(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u32))
        .default_value(default)
        .help(help)
}

fn number(given: &ArgMatches, name: &str) -> u32 {
    given.get_one(name).copied().unwrap_or_default()
}

fn size(given: &ArgMatches, name: &str) -> usize {
    usize::try_from(number(given, name)).unwrap_or(usize::MAX)
}

fn socket(given: &ArgMatches, name: &str) -> SocketAddr {
    let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
    given.get_one(name).copied().unwrap_or(fallback)
}

fn announce(value: &serde_json::Value) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{value}")?;
    out.flush()
}

fn run_log(given: &ArgMatches) -> io::Result<()> {
    let mut settings = log::Settings {
        listen: socket(given, "listen"),
        ..log::Settings::default()
    };
    settings.faults.retention_records = size(given, "retention");
    let handle = log::Server::start(settings)?;
    announce(&serde_json::json!({ "role": "log", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_target(given: &ArgMatches) -> io::Result<()> {
    let mean = u64::from(number(given, "service-us"));
    let mut settings = target::Settings {
        listen: socket(given, "listen"),
        slots: size(given, "slots"),
        connections: size(given, "connections"),
        seed: u64::from(number(given, "seed")),
        ..target::Settings::default()
    };
    settings.status.service = if given.get_flag("exponential") {
        target::Service::ExponentialUs(mean)
    } else {
        target::Service::FixedUs(mean)
    };
    let handle = target::Server::start(settings)?;
    announce(&serde_json::json!({ "role": "target", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_worker(given: &ArgMatches) -> io::Result<()> {
    let mut settings = worker::Settings {
        listen: socket(given, "listen"),
        ..worker::Settings::default()
    };
    settings.status.accelerators = number(given, "accelerators");
    settings.status.usage_delay_ms = u64::from(number(given, "usage-delay-ms"));
    settings.status.checkpoint_ms = u64::from(number(given, "checkpoint-ms"));
    let handle = worker::Server::start(settings)?;
    announce(&serde_json::json!({ "role": "worker", "address": handle.address }))?;
    handle.join();
    Ok(())
}

fn run_proxy(given: &ArgMatches) -> io::Result<()> {
    let millis = |name| Duration::from_millis(u64::from(number(given, name)));
    let every = millis("fault-every-ms");
    let handle = proxy::Proxy::start(proxy::Settings {
        listen: socket(given, "listen"),
        control: socket(given, "control"),
        upstream: socket(given, "upstream"),
        seed: u64::from(number(given, "seed")),
        script: (!every.is_zero()).then(|| proxy::Script {
            every,
            length: millis("fault-length-ms"),
        }),
    })?;
    announce(&serde_json::json!({
        "role": "proxy",
        "address": handle.address,
        "control": handle.control_address,
    }))?;
    handle.join();
    Ok(())
}
