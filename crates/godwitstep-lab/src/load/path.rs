//! A way to the targets, and single requests on it.

use godwitstep::http;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an answer may take beyond the deadline of its request.
const GRACE: Duration = Duration::from_secs(5);

/// What the requests of a run have in common.
#[derive(Debug, Clone)]
pub(super) struct Caller {
    pub(super) service: String,
    pub(super) workspace: String,
    pub(super) kind: String,
    pub(super) token: Option<String>,
    pub(super) idempotent: bool,
    pub(super) deadline_ms: u64,
    pub(super) run_ms: u64,
    pub(super) padding: usize,
    pub(super) connections: usize,
}

impl Caller {
    /// Reports what cannot be sent as a path or a header.
    pub(super) fn check(&self) -> Result<(), hyper::http::Error> {
        self.through_entry("check", Bytes::new()).map(drop)
    }

    fn through_entry(&self, key: &str, body: Bytes) -> Result<Request<Bytes>, hyper::http::Error> {
        let mut request = Request::post(format!("/v1/services/{}/requests", self.service))
            .header("godwitstep-workspace", &self.workspace)
            .header("godwitstep-kind", &self.kind)
            .header("godwitstep-key", key)
            .header("godwitstep-attempt", "1")
            .header("godwitstep-idempotent", self.idempotent.to_string())
            .header("godwitstep-deadline-ms", self.deadline_ms);
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        request.body(body)
    }

    /// Returns a body that no other request of the run has.
    fn body(&self, number: u64) -> Bytes {
        let padding = "x".repeat(self.padding);
        let run = match self.run_ms {
            0 => String::new(),
            ms => format!("\"run_ms\":{ms},"),
        };
        format!("{{{run}\"number\":{number},\"padding\":\"{padding}\"}}").into()
    }
}

/// A way to the targets.
pub(super) struct Path {
    pub(super) name: &'static str,
    clients: Vec<http::Client>,
    caller: Caller,
    through_entry: bool,
    /// Part of all keys, so that runs against the same targets do not share any.
    run: String,
}

impl Path {
    pub(super) fn entry(entries: &[SocketAddr], caller: Caller) -> Self {
        Self::new("entry", entries, caller, true)
    }

    pub(super) fn direct(targets: &[SocketAddr], caller: Caller) -> Self {
        Self::new("direct", targets, caller, false)
    }

    fn new(name: &'static str, peers: &[SocketAddr], caller: Caller, through_entry: bool) -> Self {
        let connections = caller.connections;
        let options = http::Options {
            connections,
            idle: connections,
            ..http::Options::default()
        };
        let client = |peer: &SocketAddr| http::Client::new(*peer).options(options);
        Self {
            name,
            clients: peers.iter().map(client).collect(),
            caller,
            through_entry,
            run: format!("{:016x}", fastrand::u64(..)),
        }
    }

    /// Sends one request and returns its outcome: that of section 7 of the design page, `wrong` for
    /// the answer to another request, or `no_answer`.
    pub(super) async fn ask(&self, number: u64) -> String {
        let key = format!("load-{}-{}-{number}", self.run, self.name);
        let body = self.caller.body(number);
        let request = if self.through_entry {
            self.caller.through_entry(&key, body.clone())
        } else {
            Request::post("/run")
                .header("godwitstep-key", &key)
                .header("godwitstep-request", &key)
                .body(body.clone())
        };
        let time = Duration::from_millis(self.caller.deadline_ms) + GRACE;
        let peer = usize::try_from(number).unwrap_or_default() % self.clients.len();
        let Ok(request) = request else {
            return "invalid".to_owned();
        };
        match self.clients[peer].exchange(request, time).await {
            Ok(answer) => self.outcome(&answer, &body),
            Err(_) => "no_answer".to_owned(),
        }
    }

    fn outcome(&self, answer: &Response<Bytes>, sent: &Bytes) -> String {
        let header = answer.headers().get("godwitstep-outcome");
        let outcome = match header.and_then(|value| value.to_str().ok()) {
            Some(outcome) if self.through_entry => outcome,
            None if self.through_entry => "no_outcome",
            _ if answer.status() == StatusCode::OK => "answered",
            _ => "failed",
        };
        if outcome == "answered" && answer.body() != sent {
            return "wrong".to_owned();
        }
        outcome.to_owned()
    }
}
