//! Requests as a caller sends them to an entry.

use bytes::Bytes;
use godwitstep::http::{Client, Error};
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Time beyond the deadline of a request for which a caller still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(15);

/// What a caller sends: the key, the body and the headers of one attempt.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    pub key: String,
    pub body: String,
    pub kind: &'static str,
    pub attempt: u32,
    pub idempotent: bool,
    pub deadline_ms: u64,
}

/// A complete response of an entry.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    /// Header `godwitstep-outcome`.
    pub outcome: String,
    /// Header `godwitstep-request`.
    pub request: String,
    pub body: Bytes,
}

impl RequestSpec {
    /// Returns the first attempt of a non-idempotent request. Its body holds the key and the time
    /// for which the target works on it.
    pub fn new(key: impl Into<String>, run_ms: u64) -> Self {
        let key = key.into();
        Self {
            body: format!("{{\"run_ms\":{run_ms},\"of\":\"{key}\"}}"),
            key,
            kind: "normal",
            attempt: 1,
            idempotent: false,
            deadline_ms: 20_000,
        }
    }

    pub fn kind(mut self, kind: &'static str) -> Self {
        self.kind = kind;
        self
    }

    pub fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Returns the next attempt with the same key.
    pub fn next_attempt(mut self) -> Self {
        self.attempt += 1;
        self
    }

    fn to_http(&self) -> Request<Bytes> {
        Request::post("/v1/services/stitchwatch/requests")
            .header("godwitstep-workspace", "airfield-socks")
            .header("godwitstep-kind", self.kind)
            .header("godwitstep-key", &self.key)
            .header("godwitstep-attempt", self.attempt)
            .header("godwitstep-idempotent", self.idempotent.to_string())
            .header("godwitstep-deadline-ms", self.deadline_ms)
            .body(self.body.clone().into())
            .expect("the request is valid")
    }
}

/// Sends a request through an existing client and returns the complete response.
pub async fn exchange(client: &Client, request: &RequestSpec) -> Result<Reply, Error> {
    let timeout = Duration::from_millis(request.deadline_ms) + RESPONSE_GRACE;
    let response = client.exchange(request.to_http(), timeout).await?;
    let header = |name| {
        let value = response.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    Ok(Reply {
        status: response.status().as_u16(),
        outcome: header("godwitstep-outcome"),
        request: header("godwitstep-request"),
        body: response.into_body(),
    })
}

/// Sends a request over a new connection.
pub fn send_request(server: SocketAddr, request: &RequestSpec) -> Result<Reply, Error> {
    smol::block_on(exchange(&Client::new(server), request))
}
