//! Paths on which requests reach the targets, and single requests on them.

use godwitstep::http;
use hyper::body::Bytes;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an answer is awaited after the deadline of its request.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Properties that all requests of a run share.
#[derive(Debug, Clone)]
pub(super) struct RequestTemplate {
    pub(super) service: String,
    pub(super) workspace: String,
    pub(super) kind: String,
    pub(super) token: Option<String>,
    pub(super) idempotent: bool,
    pub(super) deadline_ms: u64,
    /// Service time that the body requests from the target; 0 for the target's default.
    pub(super) run_ms: u64,
    pub(super) padding_bytes: usize,
    /// Connections to each address.
    pub(super) connections: usize,
}

impl RequestTemplate {
    /// Returns an error if a property can't be sent in the request's path or headers.
    pub(super) fn validate(&self) -> Result<(), hyper::http::Error> {
        self.entry_request("check", Bytes::new()).map(drop)
    }

    fn entry_request(&self, key: &str, body: Bytes) -> Result<Request<Bytes>, hyper::http::Error> {
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

    /// Returns a body that is unique within the path, so that a wrong answer can be detected.
    fn body(&self, number: u64) -> Bytes {
        let padding = "x".repeat(self.padding_bytes);
        let run = match self.run_ms {
            0 => String::new(),
            ms => format!("\"run_ms\":{ms},"),
        };
        format!("{{{run}\"number\":{number},\"padding\":\"{padding}\"}}").into()
    }
}

/// A path on which requests reach the targets: through entries, or directly.
pub(super) struct Path {
    pub(super) name: &'static str,
    clients: Vec<http::Client>,
    template: RequestTemplate,
    through_entry: bool,
    /// Random part of all keys, so that runs against the same targets have different keys.
    run_id: String,
}

impl Path {
    pub(super) fn entry(entries: &[SocketAddr], template: RequestTemplate) -> Self {
        Self::new("entry", entries, template, true)
    }

    pub(super) fn direct(targets: &[SocketAddr], template: RequestTemplate) -> Self {
        Self::new("direct", targets, template, false)
    }

    fn new(
        name: &'static str,
        addresses: &[SocketAddr],
        template: RequestTemplate,
        through_entry: bool,
    ) -> Self {
        let connections = template.connections;
        let options = http::Options {
            connections,
            idle: connections,
            ..http::Options::default()
        };
        let client = |address: &SocketAddr| http::Client::new(*address).options(options);
        Self {
            name,
            clients: addresses.iter().map(client).collect(),
            template,
            through_entry,
            run_id: format!("{:016x}", fastrand::u64(..)),
        }
    }

    /// Sends one request and returns its outcome: one of section 7 of the design page, `no_outcome`
    /// if the entry states none, `wrong` for the answer to another request, `no_answer` if the
    /// exchange fails or times out, or `invalid` if the request can't be built.
    pub(super) async fn send(&self, number: u64) -> String {
        let key = format!("load-{}-{}-{number}", self.run_id, self.name);
        let body = self.template.body(number);
        let request = if self.through_entry {
            self.template.entry_request(&key, body.clone())
        } else {
            Request::post("/run")
                .header("godwitstep-key", &key)
                .header("godwitstep-request", &key)
                .body(body.clone())
        };
        let timeout = Duration::from_millis(self.template.deadline_ms) + ANSWER_GRACE;
        let client = usize::try_from(number).unwrap_or_default() % self.clients.len();
        let Ok(request) = request else {
            return "invalid".to_owned();
        };
        match self.clients[client].exchange(request, timeout).await {
            Ok(answer) => self.outcome(&answer, &body),
            Err(_) => "no_answer".to_owned(),
        }
    }

    /// Classifies an answer. Targets echo the body of a request, so any other body is wrong.
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
