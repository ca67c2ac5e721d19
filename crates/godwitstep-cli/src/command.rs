//! Definition of the command line.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command};
use godwitstep::resources::Collection;
use godwitstep::settings::{Agent, Entry, Form, Key, Settings, flags};

const AFTER_HELP: &str = "\
Exit codes:
  0  success
  1  refused or failed
  2  faults in the command line or in a file

Examples:
  godwitstep check examples/windsock-works/entries/karratha.json
  godwitstep apply -f domains.json -f workspaces.json --dry-run
  godwitstep get jobs --workspace council-flags
  godwitstep domain out karratha-shed";

/// Returns the definition of the whole command line.
pub fn command() -> Command {
    Command::new("godwitstep")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules multi-accelerator jobs and short requests under workspace guarantees")
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([entry(), agent(), demo(), check(), reference()])
        .subcommands([
            apply(),
            get(),
            describe(),
            watch(),
            cancel(),
            domain(),
            report(),
        ])
}

fn entry() -> Command {
    Command::new("entry")
        .about(
            "Run an entry, which serves callers and operators and may become the region's decider",
        )
        .arg(settings_arg())
        .args(override_args(Entry::KEYS))
}

fn agent() -> Command {
    Command::new("agent")
        .about("Run an agent for a target, a worker or both")
        .arg(settings_arg())
        .args(override_args(Agent::KEYS))
}

fn demo() -> Command {
    Command::new("demo").about("Run every role in one process over loopback sockets")
}

fn check() -> Command {
    Command::new("check")
        .about("Validate settings or resource files and report every fault")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .help("Files to validate; - for the standard input"),
        )
        .arg(
            Arg::new("as")
                .long("as")
                .value_name("FORM")
                .value_parser(PossibleValuesParser::new(["entry", "agent", "resources"]))
                .help("Type of the files; detected from their keys by default"),
        )
}

fn reference() -> Command {
    Command::new("reference").about("Print the reference page of all settings, in Markdown")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Declare the resources and submit the jobs in files")
        .long_about(
            "Declare the resources and submit the jobs in files.\n\n\
             All files are validated before anything is sent. Domains are sent first, then \
             workspaces, then jobs. A resource with a \"version\" is changed only if it still has \
             that version.",
        )
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .help("Resource file; - for the standard input; may be repeated"),
        )
        .arg(dry_run_arg())
        .arg(server_arg())
}

fn get() -> Command {
    Command::new("get")
        .about("List resources or show a single one")
        .arg(kind_arg())
        .arg(name_arg().required(false))
        .args(filter_args())
        .arg(output_arg())
        .arg(server_arg())
}

fn describe() -> Command {
    Command::new("describe")
        .about("Show all details of a resource, including its status and the reason for it")
        .arg(kind_arg())
        .arg(name_arg())
        .arg(server_arg())
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow changes as they take effect")
        .long_about(
            "Follow changes as they take effect.\n\n\
             A watch that loses its connection resumes from its last version at the next server \
             that responds. If the changes since then are no longer kept, it ends with exit code \
             1.",
        )
        .arg(kind_arg())
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64))
                .help(
                    "Start after this version, taken from a list or an earlier line; the current \
                     one by default",
                ),
        )
        .args(filter_args())
        .arg(output_arg())
        .arg(server_arg())
}

fn cancel() -> Command {
    Command::new("cancel")
        .about("Cancel jobs")
        .arg(
            Arg::new("job")
                .value_name("JOB")
                .required(true)
                .num_args(1..)
                .help("Names of the jobs"),
        )
        .arg(server_arg())
}

fn domain() -> Command {
    let subcommand = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(name_arg())
            .arg(dry_run_arg())
            .arg(server_arg())
    };
    Command::new("domain")
        .about("Take a failure domain out of service or put it back into service")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            subcommand(
                "out",
                "Start no new work in a failure domain, and move the work that runs there",
            )
            .arg(
                Arg::new("force")
                    .long("force")
                    .action(ArgAction::SetTrue)
                    .help("Proceed even if no other failure domain of the region is in service"),
            ),
        )
        .subcommand(subcommand("in", "Allow new work in a failure domain again"))
}

fn report() -> Command {
    Command::new("report")
        .about("Show late answers, their cost and the burn rate of the error budget")
        .long_about(
            "Show late answers, their cost and the burn rate of the error budget.\n\n\
             Each entry counts its own requests, so name all entries. The report states which \
             counters are missing.",
        )
        .arg(output_arg().value_parser(PossibleValuesParser::new(["table", "json", "html"])))
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .help("File for -o html; the standard output by default"),
        )
        .arg(
            server_arg().help("Operator addresses of all entries, separated by commas or repeated"),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("JSON file with the settings")
}

/// Returns the id of the flag that overrides the setting at `path`.
pub fn override_id(path: &str) -> String {
    format!("override.{path}")
}

fn override_args(keys: &'static [Key]) -> Vec<Arg> {
    flags(keys)
        .into_iter()
        .map(|(path, key)| {
            let value_name = match key.form {
                Form::Name => "NAME",
                Form::Address => "IP:PORT",
                Form::Addresses { .. } => "IP:PORT,..",
                Form::Integer { .. } => "NUMBER",
                Form::Choice(_) => "WORD",
                Form::Secret { .. } | Form::Group(_) => "VALUE",
            };
            let help = key.help.trim_end_matches('.');
            let help = match key.form {
                Form::Choice(words) => format!("{help} [possible values: {}]", words.join(", ")),
                _ => help.to_owned(),
            };
            Arg::new(override_id(&path))
                .long(path.replace(['.', '_'], "-"))
                .value_name(value_name)
                .help(help)
                .help_heading("Options that override a setting")
        })
        .collect()
}

fn server_arg() -> Arg {
    Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .env("GODWITSTEP_SERVER")
        .required(true)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(std::net::SocketAddr))
        .help("Operator address of any entry; several, separated by commas, are tried in order")
}

fn kind_arg() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(|text: &str| match text.parse::<Collection>() {
            Ok(_) => Ok(text.to_owned()),
            Err(error) => Err(format!("{error}")),
        })
        .help("domains, workspaces or jobs")
}

fn name_arg() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the resource")
}

fn filter_args() -> [Arg; 3] {
    let filter = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help)
    };
    [
        filter("workspace", "Only jobs of this workspace"),
        filter("kind-of-work", "Only jobs of this kind of work"),
        filter("domain", "Only jobs with a part in this failure domain"),
    ]
}

fn output_arg() -> Arg {
    Arg::new("output")
        .short('o')
        .long("output")
        .value_name("FORM")
        .default_value("table")
        .value_parser(PossibleValuesParser::new(["table", "json"]))
        .help("Output format")
}

fn dry_run_arg() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show what would change without changing anything")
}
