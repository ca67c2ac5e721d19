//! Requests as a caller sends them.

use bytes::Bytes;
use godwitstep::http::{Client, Error};
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Time beyond the deadline after which a caller gives up on a connection.
const GRACE: Duration = Duration::from_secs(15);

/// A request.
#[derive(Debug, Clone)]
pub struct Ask {
    pub key: String,
    pub body: String,
    pub kind: &'static str,
    pub attempt: u32,
    pub idempotent: bool,
    pub deadline_ms: u64,
}

/// An answer.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    /// Header `godwitstep-outcome`.
    pub outcome: String,
    /// Header `godwitstep-request`.
    pub request: String,
    pub body: Bytes,
}

impl Ask {
    /// Returns a first, non-idempotent attempt whose body is the key and which runs for a time.
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
    pub fn again(mut self) -> Self {
        self.attempt += 1;
        self
    }

    fn request(&self) -> Request<Bytes> {
        Request::post("/v1/services/stitchwatch/requests")
            .header("godwitstep-workspace", "airfield-socks")
            .header("godwitstep-kind", self.kind)
            .header("godwitstep-key", &self.key)
            .header("godwitstep-attempt", self.attempt)
            .header("godwitstep-idempotent", self.idempotent.to_string())
            .header("godwitstep-deadline-ms", self.deadline_ms)
            .body(self.body.clone().into())
            .expect("legal parts make a request")
    }
}

/// Sends a request with a client and returns the whole answer.
pub async fn exchange(client: &Client, ask: &Ask) -> Result<Reply, Error> {
    let limit = Duration::from_millis(ask.deadline_ms) + GRACE;
    let answer = client.exchange(ask.request(), limit).await?;
    let header = |name| {
        let value = answer.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    Ok(Reply {
        status: answer.status().as_u16(),
        outcome: header("godwitstep-outcome"),
        request: header("godwitstep-request"),
        body: answer.into_body(),
    })
}

/// Sends a request on a connection of its own.
pub fn ask(server: SocketAddr, ask: &Ask) -> Result<Reply, Error> {
    smol::block_on(exchange(&Client::new(server), ask))
}
