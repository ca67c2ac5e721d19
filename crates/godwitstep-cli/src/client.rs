//! Requests to entries.

use crate::failure::Failure;
use bytes::Bytes;
use clap::ArgMatches;
use godwitstep::http;
use hyper::{Method, Request, Response};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

mod lines;

pub use lines::{End, Lines};

/// Longest wait for an answer. An entry waits for the log on behalf of a change.
const TIME: Duration = Duration::from_secs(30);

/// An answer in JSON.
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// What a change did: `created`, `updated`, `unchanged`.
    pub change: Option<String>,
    /// The body.
    pub body: Value,
}

/// Client of the entries that the command line names.
pub struct Client {
    servers: Vec<http::Client>,
}

impl Client {
    /// Returns a client of the servers of a command line.
    pub fn new(matches: &ArgMatches) -> Result<Self, Failure> {
        let servers: Vec<_> = matches
            .get_many::<SocketAddr>("server")
            .into_iter()
            .flatten()
            .map(|address| http::Client::new(*address))
            .collect();
        if servers.is_empty() {
            return Err(Failure::Usage("--server is missing".to_owned()));
        }
        Ok(Self { servers })
    }

    /// Returns a client of the given servers.
    pub fn of(servers: &[SocketAddr]) -> Self {
        let servers = servers.iter().copied().map(http::Client::new).collect();
        Self { servers }
    }

    /// Returns the addresses of the servers, in the order in which they are tried.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(http::Client::peer).collect()
    }

    /// Sends a request to the first server that takes it and reads the answer, whatever its
    /// status.
    ///
    /// A further server is asked only if the request has not left this process, or only reads:
    /// a change may otherwise be made twice.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: Option<&Value>,
    ) -> Result<Answer, Failure> {
        let what = format!("{method} {path}");
        let mut request = Request::builder().method(method.clone()).uri(path);
        if let Some(version) = version {
            request = request.header("if-match", format!("\"{version}\""));
        }
        let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
        let request = request
            .body(body)
            .map_err(|error| Failure::Usage(format!("{what}: {error}")))?;
        let mut last = None;
        for server in &self.servers {
            match server.exchange(request.clone(), TIME).await {
                Ok(response) => return answer(&what, &response),
                Err(error) => {
                    let again = !error.sent || method == Method::GET;
                    last = Some(Failure::Http {
                        what: what.clone(),
                        error,
                    });
                    if !again {
                        break;
                    }
                }
            }
        }
        Err(last.unwrap_or_else(|| Failure::Usage("--server is missing".to_owned())))
    }

    /// Reads a path.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        let answer = self.send(Method::GET, path, None, None).await?;
        answer.expect(path)
    }
}

impl Answer {
    /// Returns the body of a success.
    pub fn expect(self, what: &str) -> Result<Value, Failure> {
        if (200..300).contains(&self.status) {
            Ok(self.body)
        } else {
            Err(Failure::refused(what, self.status, &self.body))
        }
    }
}

fn answer(what: &str, response: &Response<Bytes>) -> Result<Answer, Failure> {
    let status = response.status().as_u16();
    let change = response.headers().get("godwitstep-change");
    let body = serde_json::from_slice(response.body()).map_err(|error| {
        Failure::Failed(format!(
            "{what}: the answer ({status}) is not JSON: {error}"
        ))
    })?;
    Ok(Answer {
        status,
        change: change
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body,
    })
}
