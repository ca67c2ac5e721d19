//! The command line with files, and with servers whose store applies each record immediately.

use godwitstep::http::{self, Limits, Shutdown, Signal};
use godwitstep::resources::{self, ChangeError, Proposal, Review, Store};
use godwitstep_core::burn::{Ledger, Observation, Verdict};
use godwitstep_core::id::Offset;
use godwitstep_core::reason::Reason;
use godwitstep_core::record::{Envelope, Event};
use godwitstep_core::registry::{Outcome, Registry, Stream};
use godwitstep_core::resource::Fault;
use serde_json::{Value, json};
use smol::Timer;
use smol::net::TcpListener;
use std::cell::{Cell, RefCell};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

const BINARY: &str = env!("CARGO_BIN_EXE_godwitstep");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Store without a log. It applies each record to its registry when it is appended.
struct FakeStore {
    registry: RefCell<Registry>,
    appends: Cell<u64>,
    signal: Signal,
}

impl FakeStore {
    /// Appends one record, applies it and returns the outcome of each event.
    fn append(&self, stream: Stream, events: Vec<Event>) -> Vec<Outcome> {
        self.appends.set(self.appends.get() + 1);
        let record = Envelope::new("entry-1", 1, self.appends.get(), events);
        let mut registry = self.registry.borrow_mut();
        let offset = registry.position(stream);
        let folded = registry.fold(stream, offset, &record, Duration::ZERO);
        folded.expect("no gap").outcomes
    }
}

impl Store for FakeStore {
    fn read<T>(&self, query: impl FnOnce(&Registry) -> T) -> T {
        query(&self.registry.borrow())
    }

    async fn change(
        &self,
        stream: Stream,
        events: Vec<Event>,
    ) -> Result<Vec<Outcome>, ChangeError> {
        Ok(self.append(stream, events))
    }

    async fn wait_past(&self, stream: Stream, position: Offset) {
        while self.registry.borrow().position(stream) <= position {
            Timer::after(Duration::from_millis(1)).await;
        }
    }

    fn review(&self, proposal: Proposal<'_>) -> Review {
        let exceeds_capacity =
            matches!(proposal, Proposal::Put(document) if &*document.name == "greedy");
        let allowed = "guarantees that fit the capacity in service: 80 accelerators";
        let fault = Fault::new("spec.guarantees", 500, allowed);
        Review {
            faults: exceeds_capacity.then_some(fault).into_iter().collect(),
            effect: Value::Null,
        }
    }

    fn signal(&self) -> Signal {
        self.signal.clone()
    }

    fn ready(&self) -> Result<(), Reason> {
        Ok(())
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn overview(&self) -> Value {
        json!({})
    }

    fn report(&self) -> Value {
        json!({"entry": "entry-1", "entries": 2, "ledger": ledger("entry-1", 3)})
    }
}

/// Returns the counters of an entry with `late_count` late answers and one that was on time.
fn ledger(entry: &str, late_count: u64) -> Ledger {
    let mut ledger = Ledger::new(entry, 1);
    for verdict in (0..late_count)
        .map(|_| Verdict::Late)
        .chain([Verdict::OnTime])
    {
        let observation = Observation::new("council-flags", "seam-check", verdict);
        ledger.record(SystemTime::now(), &observation.refund(4.0));
    }
    ledger
}

struct Server {
    address: SocketAddr,
    store: Rc<FakeStore>,
    shutdown: Shutdown,
}

/// Starts a server that runs until its shutdown is started or dropped.
async fn start_server(executor: &smol::LocalExecutor<'_>) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (shutdown, signal) = Shutdown::new();
    let store = Rc::new(FakeStore {
        registry: RefCell::new(Registry::new("pilbara-coast")),
        appends: Cell::new(0),
        signal: signal.clone(),
    });
    let handler_store = store.clone();
    let handler = async move |request| resources::handle(&handler_store, request).await;
    executor
        .spawn(http::serve(listener, Limits::default(), signal, handler))
        .detach();
    Server {
        address,
        store,
        shutdown,
    }
}

/// Runs the command with arguments that are separated by spaces. Returns its exit code, standard
/// output and standard error.
async fn run(server: SocketAddr, arguments: &str) -> (i32, String, String) {
    let mut command = Command::new(BINARY);
    command.args(arguments.split(' ')).current_dir(ROOT);
    command.env("GODWITSTEP_SERVER", server.to_string());
    let output = smol::unblock(move || command.output())
        .await
        .expect("the command runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (
        output.status.code().unwrap_or(-1),
        text(output.stdout),
        text(output.stderr),
    )
}

fn with_server(test: impl AsyncFnOnce(&Server)) {
    let executor = smol::LocalExecutor::new();
    smol::block_on(executor.run(async {
        let server = start_server(&executor).await;
        test(&server).await;
    }));
}

/// Guards against exit codes from which a script can't distinguish success, a refusal, and faults
/// in a file or the command line.
#[test]
fn exit_codes_distinguish_faults_from_refusals() {
    with_server(async |server| {
        let invalid = "crates/godwitstep/tests/settings/invalid/agent-groups.json";
        let entry = "examples/windsock-works/entries/karratha.json";
        for (arguments, code, message) in [
            (format!("check {entry}"), 0, ""),
            (
                format!("check {entry} {invalid}"),
                2,
                "did you mean \"service\"?",
            ),
            (format!("check --as agent {entry}"), 2, "entries"),
            ("check absent.json".to_owned(), 2, "can't be read"),
            (
                format!("entry --settings {entry} --callers here"),
                2,
                "callers: \"here\"",
            ),
            (format!("apply -f {entry}"), 2, "kind: a missing value"),
            (
                "get pods".to_owned(),
                2,
                "not one of domains, workspaces, jobs",
            ),
            ("get jobs absent".to_owned(), 1, "there is no job absent"),
            (
                "get jobs --server 127.0.0.1:1".to_owned(),
                1,
                "connect with 127.0.0.1:1",
            ),
        ] {
            let (exit_code, _, messages) = run(server.address, &arguments).await;
            assert_eq!(exit_code, code, "{arguments}: {messages}");
            assert!(messages.contains(message), "{arguments}: {messages}");
        }
    });
}

/// Guards against commands that report a change that was not made.
#[test]
fn commands_change_and_show_resources() {
    with_server(async |server| {
        let files = ["jobs", "workspaces", "domains"]
            .map(|name| format!("-f examples/windsock-works/resources/{name}.json"))
            .join(" ");
        let (code, out, messages) = run(server.address, &format!("apply {files} --dry-run")).await;
        assert_eq!(
            code, 1,
            "jobs refer to workspaces that a dry run does not declare"
        );
        assert!(
            out.contains("domain karratha-shed (dry run): create"),
            "{out}"
        );
        assert!(messages.contains("a declared workspace") && server.store.appends.get() == 0);
        for change in ["created", "unchanged"] {
            let (code, out, messages) = run(server.address, &format!("apply {files}")).await;
            assert_eq!(
                (code, out.matches(change).count()),
                (0, 12),
                "{out}{messages}"
            );
        }
        // Both runs appended 7 records to the stream of declared resources.
        let (_, out, _) = run(server.address, "domain out karratha-shed --dry-run").await;
        assert!(out.contains("would be put out of service"), "{out}");
        let (code, out, _) = run(server.address, "domain out karratha-shed").await;
        assert_eq!(
            (code, &*out),
            (0, "domain karratha-shed is out of service (version 14)\n")
        );
        let (_, out, _) = run(server.address, "domain out karratha-shed").await;
        assert!(out.contains("already out of service"), "{out}");
        let (_, out, _) = run(server.address, "get domains").await;
        assert!(
            out.contains("karratha-shed     pilbara-coast   out_of_service   14\n"),
            "{out}"
        );
        let (_, out, _) = run(server.address, "cancel rodeo-nesting-1").await;
        assert_eq!(out, "job rodeo-nesting-1 is cancelled\n");
        let (_, out, _) = run(server.address, "describe job rodeo-nesting-1").await;
        assert!(out.contains("message: cancelled on request"), "{out}");
        let list = "get jobs --workspace council-flags -o json";
        let (_, out, _) = run(server.address, list).await;
        let list: Value = serde_json::from_str(&out).expect("JSON");
        assert_eq!(list["items"].as_array().map(Vec::len), Some(2));
    });
}

/// Guards against error messages that don't state the correction, and against taking a whole region
/// out of service by mistake.
#[test]
fn error_messages_state_the_correction_in_one_line() {
    with_server(async |server| {
        let files = ["domains", "workspaces"]
            .map(|name| format!("-f examples/windsock-works/resources/{name}.json"))
            .join(" ");
        assert_eq!(run(server.address, &format!("apply {files}")).await.0, 0);
        for domain in ["dampier-depot", "roebourne-annex"] {
            assert_eq!(
                run(server.address, &format!("domain out {domain}")).await.0,
                0
            );
        }
        let directory = "crates/godwitstep-cli/tests/mistakes";
        for (arguments, code, message) in [
            (
                "get jos".to_owned(),
                2,
                "not one of domains, workspaces, jobs",
            ),
            (
                format!("apply -f {directory}/kind.json"),
                1,
                "a kind of the workspace: pattern-nesting, seam-check, dye-fade-review",
            ),
            (
                format!("apply -f {directory}/stale.json"),
                1,
                "with version 0 (409 conflict); read it with `godwitstep get -o json`",
            ),
            (
                format!("apply -f {directory}/greedy.json"),
                1,
                "request less, or bring failure domains or workers back first",
            ),
            (
                "domain out karratha-shed".to_owned(),
                1,
                "put another one into service first, or repeat with --force",
            ),
            (
                "cancel absent".to_owned(),
                1,
                "there is no job absent (404 not_found); `godwitstep get`",
            ),
            (
                "get domains --kind-of-work x".to_owned(),
                2,
                "are for jobs, not domains",
            ),
        ] {
            let (exit_code, _, messages) = run(server.address, &arguments).await;
            assert_eq!(exit_code, code, "{arguments}: {messages}");
            let matching = messages.lines().find(|line| line.contains(message));
            assert!(matching.is_some(), "{arguments}: {messages}");
        }
        let (code, out, _) = run(server.address, "domain out karratha-shed --force").await;
        assert_eq!(code, 0, "{out}");
    });
}

/// Guards against a report that counts a request twice, or does not list the entries that it lacks.
#[test]
fn report_merges_entries_and_lists_the_missing_ones() {
    with_server(async |server| {
        let unreachable = "127.0.0.1:1";
        let arguments = format!(
            "report --server {0} --server {0},{unreachable} -o json",
            server.address
        );
        let (code, out, messages) = run(server.address, &arguments).await;
        assert_eq!(code, 0, "{messages}");
        let report: Value = serde_json::from_str(&out).expect("JSON");
        let lines = report["lines"].as_array().expect("lines");
        let counts: Vec<_> = [
            "on_time",
            "late",
            "refused",
            "failed",
            "unknown",
            "refund_due",
        ]
        .map(|name| lines[0][name].as_f64().expect("a number"))
        .into();
        assert_eq!(
            (lines.len(), counts),
            (1, vec![1.0, 3.0, 0.0, 0.0, 0.0, 12.0])
        );
        assert_eq!(report["seen"].as_array().map(Vec::len), Some(1));
        assert_eq!(report["missing"][0]["server"], unreachable);
        let (_, out, _) = run(server.address, "report").await;
        assert!(
            out.contains("Not seen: 1 of the region's 2 entries"),
            "{out}"
        );
        assert!(out.contains("fast"), "{out}");
        let (_, page, _) = run(server.address, "report -o html").await;
        assert_eq!(page.matches("<svg").count(), 3, "{page}");
        assert!(!page.contains("href=") && page.contains("not declared"));
        assert_eq!(run(server.address, "report --file x").await.0, 2);
        let arguments = format!("report --server {unreachable}");
        let (code, _, messages) = run(server.address, &arguments).await;
        assert!(
            code == 1 && messages.contains("no entry returned its counters"),
            "{messages}"
        );
    });
}

/// Guards against a watch that ends or misses changes when its server stops.
#[test]
fn watch_resumes_at_another_server() {
    let executor = smol::LocalExecutor::new();
    smol::block_on(executor.run(async {
        let (first, second) = (start_server(&executor).await, start_server(&executor).await);
        let apply = "apply -f examples/windsock-works/resources/domains.json";
        for server in [&first, &second] {
            assert_eq!(run(server.address, apply).await.0, 0);
        }
        assert_eq!(run(second.address, "domain out dampier-depot").await.0, 0);
        let servers = format!("{},{}", first.address, second.address);
        let mut watch = Command::new(BINARY)
            .args([
                "watch", "domains", "--from", "0", "-o", "json", "--server", &servers,
            ])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the command runs");
        let mut lines = BufReader::new(watch.stdout.take().expect("a pipe")).lines();
        for version in 1..=4 {
            if version == 4 {
                first.shutdown.start();
            }
            let (line, returned_lines) = smol::unblock(move || (lines.next(), lines)).await;
            lines = returned_lines;
            let line = line.expect("a line").expect("text");
            let event: Value = serde_json::from_str(&line).expect("JSON");
            assert_eq!(
                (&event["version"], &event["type"]),
                (&json!(version), &json!("put"))
            );
        }
        watch.kill().expect("the command is running");
        watch.wait().expect("the command ends");
    }));
}
