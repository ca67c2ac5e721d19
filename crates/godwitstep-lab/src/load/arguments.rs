//! Arguments of the sub-command and their bounds.

use super::generator::Load;
use super::path::{Path, RequestTemplate};
use super::process::Process;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::net::SocketAddr;
use std::time::Duration;

/// Highest rate of requests on each path. Unit: requests per second.
const MAX_RATE: u64 = 5_000;
/// Longest time of a run. Unit: seconds.
const MAX_SECONDS: u64 = 300;
/// Highest number of connections to each address.
const MAX_CONNECTIONS: u64 = 256;
/// Largest padding of a request's body. Unit: bytes.
const MAX_PADDING_BYTES: u64 = 1_000_000;

/// Returns the definition of the sub-command.
#[must_use]
pub fn command() -> Command {
    Command::new("load")
        .about("Generates load through entries and, at the same time, directly on their targets")
        .args([
            addresses("entry", "Entries, used in turn").requires_all([
                "service",
                "workspace",
                "kind",
            ]),
            addresses("direct", "Targets that get requests directly, used in turn"),
            integer(
                "rate",
                "200",
                0..=MAX_RATE,
                "Requests per second on each path",
            ),
            integer(
                "seconds",
                "10",
                1..=MAX_SECONDS,
                "Length of the run in seconds",
            ),
            integer(
                "connections",
                "64",
                1..=MAX_CONNECTIONS,
                "Connections to each address",
            ),
            integer(
                "run-ms",
                "0",
                0..=60_000,
                "Service time requested in the body; 0 for the default of the target",
            ),
            integer(
                "body-bytes",
                "0",
                0..=MAX_PADDING_BYTES,
                "Padding of the body in bytes",
            ),
            integer(
                "deadline-ms",
                "10000",
                1..=300_000,
                "Deadline of each request in milliseconds",
            ),
            integer("seed", "1", 0..=u64::MAX, "Seed of the arrival times"),
            text("service", "Service that is requested from entries"),
            text("workspace", "Workspace of the requests"),
            text("kind", "Kind of the requests"),
            text("token", "Bearer token of the workspace"),
            Arg::new("idempotent")
                .long("idempotent")
                .action(ArgAction::SetTrue)
                .help("Marks the requests as idempotent"),
            Arg::new("pid")
                .long("pid")
                .value_name("NAME=PID")
                .action(ArgAction::Append)
                .value_parser(Process::parse)
                .help("Process whose processor share and memory are measured; may be repeated"),
        ])
}

fn addresses(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(parse_loopback)
        .help(help)
}

fn integer(
    name: &'static str,
    default: &'static str,
    range: std::ops::RangeInclusive<u64>,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(range))
        .default_value(default)
        .help(help)
}

fn text(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// Parses an address and rejects all but loopback addresses, because the tool must not put load on
/// other machines.
fn parse_loopback(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| "not an address of the form IP:PORT".to_owned())?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err("not a loopback address".to_owned())
    }
}

/// Parsed arguments.
pub(super) struct Settings {
    pub(super) load: Load,
    pub(super) processes: Vec<Process>,
    entries: Vec<SocketAddr>,
    targets: Vec<SocketAddr>,
    template: RequestTemplate,
}

impl Settings {
    pub(super) fn new(matches: &ArgMatches) -> Result<Self, hyper::http::Error> {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let addresses = |name: &str| {
            matches
                .get_many(name)
                .unwrap_or_default()
                .copied()
                .collect()
        };
        let processes = matches.get_many("pid").unwrap_or_default();
        let template = RequestTemplate {
            service: text("service").unwrap_or_default(),
            workspace: text("workspace").unwrap_or_default(),
            kind: text("kind").unwrap_or_default(),
            token: text("token"),
            idempotent: matches.get_flag("idempotent"),
            deadline_ms: number("deadline-ms"),
            run_ms: number("run-ms"),
            padding_bytes: usize::try_from(number("body-bytes")).unwrap_or_default(),
            connections: usize::try_from(number("connections")).unwrap_or(1),
        };
        template.validate()?;
        Ok(Self {
            load: Load {
                rate: number("rate"),
                duration: Duration::from_secs(number("seconds")),
                seed: number("seed"),
                deadline: Duration::from_millis(number("deadline-ms")),
            },
            processes: processes.cloned().collect(),
            entries: addresses("entry"),
            targets: addresses("direct"),
            template,
        })
    }

    /// Returns the path through the entries, if any are given.
    pub(super) fn entry_path(&self) -> Option<Path> {
        (!self.entries.is_empty()).then(|| Path::entry(&self.entries, self.template.clone()))
    }

    /// Returns the path to the targets, if any are given.
    pub(super) fn direct_path(&self) -> Option<Path> {
        (!self.targets.is_empty()).then(|| Path::direct(&self.targets, self.template.clone()))
    }
}
