//! The command line.

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command};
use godwitstep::resources::Collection;
use godwitstep::settings::{Agent, Entry, Form, Key, Settings, flags};

const AFTER: &str = "\
Exit codes:
  0  done
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
        .after_help(AFTER)
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
        .about("Run an entry: serve callers and operators, and decide for the region")
        .arg(settings())
        .args(overrides(Entry::KEYS))
}

fn agent() -> Command {
    Command::new("agent")
        .about("Run an agent beside a target, a worker or both")
        .arg(settings())
        .args(overrides(Agent::KEYS))
}

fn demo() -> Command {
    Command::new("demo").about("Run every role in one process over loopback sockets")
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings or resource files and report every fault")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .num_args(1..)
                .help("Files to check; - for the standard input"),
        )
        .arg(
            Arg::new("as")
                .long("as")
                .value_name("FORM")
                .value_parser(PossibleValuesParser::new(["entry", "agent", "resources"]))
                .help("What the files hold; told by their keys if left out"),
        )
}

fn reference() -> Command {
    Command::new("reference").about("Print the reference page of all settings, in Markdown")
}

fn apply() -> Command {
    Command::new("apply")
        .about("Declare the resources and submit the jobs of files")
        .long_about(
            "Declare the resources and submit the jobs of files.\n\n\
             All files are checked before anything is sent. Domains go first, then workspaces, \
             then jobs. A resource with a \"version\" is changed only if it still has that version.",
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
        .arg(dry_run())
        .arg(server())
}

fn get() -> Command {
    Command::new("get")
        .about("List resources, or show one")
        .arg(kind())
        .arg(name().required(false))
        .args(filters())
        .arg(output())
        .arg(server())
}

fn describe() -> Command {
    Command::new("describe")
        .about("Show a resource in full, with its status and the reason for it")
        .arg(kind())
        .arg(name())
        .arg(server())
}

fn watch() -> Command {
    Command::new("watch")
        .about("Follow changes as they take effect")
        .long_about(
            "Follow changes as they take effect.\n\n\
             A watch that loses its connection goes on where it was, at the next server that \
             answers. If the changes since then are no longer kept, it ends with exit code 1.",
        )
        .arg(kind())
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64))
                .help("Version of a list or of an earlier line; from now on if left out"),
        )
        .args(filters())
        .arg(output())
        .arg(server())
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
        .arg(server())
}

fn domain() -> Command {
    let verb = |verb: &'static str, about: &'static str| {
        Command::new(verb)
            .about(about)
            .arg(name())
            .arg(dry_run())
            .arg(server())
    };
    Command::new("domain")
        .about("Take a failure domain out of service, or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            verb(
                "out",
                "Start nothing more in a failure domain, and move what runs there",
            )
            .arg(
                Arg::new("force")
                    .long("force")
                    .action(ArgAction::SetTrue)
                    .help("Also if no other failure domain of the region is in service"),
            ),
        )
        .subcommand(verb("in", "Let work start in a failure domain again"))
}

fn report() -> Command {
    Command::new("report")
        .about("Show late answers, their cost, and the pace at which the allowance is used up")
        .long_about(
            "Show late answers, their cost, and the pace at which the allowance is used up.\n\n\
             Each entry counts its own requests, so name all entries. The report says what it \
             could not see.",
        )
        .arg(output().value_parser(PossibleValuesParser::new(["table", "json", "html"])))
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .help("File for -o html; the standard output if left out"),
        )
        .arg(server().help("Operators' addresses of all entries, with commas or repeated"))
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .help("Settings in JSON")
}

/// Returns the id of the flag that replaces a key.
pub fn override_id(path: &str) -> String {
    format!("override.{path}")
}

fn overrides(keys: &'static [Key]) -> Vec<Arg> {
    flags(keys)
        .into_iter()
        .map(|(path, key)| {
            let value = match key.form {
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
                .value_name(value)
                .help(help)
                .help_heading("Options that replace a setting")
        })
        .collect()
}

fn server() -> Arg {
    Arg::new("server")
        .long("server")
        .value_name("IP:PORT")
        .env("GODWITSTEP_SERVER")
        .required(true)
        .value_delimiter(',')
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(std::net::SocketAddr))
        .help("Operators' address of any entry; several with commas are tried in turn")
}

fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(|text: &str| match text.parse::<Collection>() {
            Ok(_) => Ok(text.to_owned()),
            Err(error) => Err(format!("{error}")),
        })
        .help("domains, workspaces or jobs")
}

fn name() -> Arg {
    Arg::new("name")
        .value_name("NAME")
        .required(true)
        .help("Name of the resource")
}

fn filters() -> [Arg; 3] {
    let filter = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("NAME").help(help)
    };
    [
        filter("workspace", "Only jobs of this workspace"),
        filter("kind-of-work", "Only jobs of this kind of work"),
        filter("domain", "Only jobs with a part in this failure domain"),
    ]
}

fn output() -> Arg {
    Arg::new("output")
        .short('o')
        .long("output")
        .value_name("FORM")
        .default_value("table")
        .value_parser(PossibleValuesParser::new(["table", "json"]))
        .help("Form of the output")
}

fn dry_run() -> Arg {
    Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show what would change, and change nothing")
}
