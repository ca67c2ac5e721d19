//! Client of the operator API of the entries.

use crate::failure::Failure;
use bytes::Bytes;
use clap::ArgMatches;
use godwitstep::http;
use hyper::{Method, Request, Response};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

mod json_lines;

pub use json_lines::{JsonLines, StreamError};

/// Time limit of an exchange. It is long because an entry replies to a change only after the log
/// has recorded it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Response with a JSON body.
pub struct JsonResponse {
    /// HTTP status code.
    pub status: u16,
    /// Effect of a change: `created`, `updated` or `unchanged`.
    pub change: Option<String>,
    /// Parsed body.
    pub body: Value,
}

/// Client of several entries, which are tried in order.
pub struct Client {
    servers: Vec<http::Client>,
}

impl Client {
    /// Creates a client of the servers of a command line.
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

    /// Creates a client of the given servers.
    pub fn with_servers(servers: &[SocketAddr]) -> Self {
        let servers = servers.iter().copied().map(http::Client::new).collect();
        Self { servers }
    }

    /// Returns the addresses of the servers, in the order in which they are tried.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(http::Client::peer).collect()
    }

    /// Sends a request to the first reachable server and returns its response, whatever the status.
    ///
    /// The next server is tried only if no byte of the request was sent or the request is a GET:
    /// otherwise a change could be made twice.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        version: Option<u64>,
        body: Option<&Value>,
    ) -> Result<JsonResponse, Failure> {
        let operation = format!("{method} {path}");
        let mut request = Request::builder().method(method.clone()).uri(path);
        if let Some(version) = version {
            request = request.header("if-match", format!("\"{version}\""));
        }
        let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
        let request = request
            .body(body)
            .map_err(|error| Failure::Usage(format!("{operation}: {error}")))?;
        let mut last_failure = None;
        for server in &self.servers {
            match server.exchange(request.clone(), EXCHANGE_TIMEOUT).await {
                Ok(response) => return parse_response(&operation, &response),
                Err(error) => {
                    let may_retry = !error.sent || method == Method::GET;
                    last_failure = Some(Failure::Http {
                        operation: operation.clone(),
                        error,
                    });
                    if !may_retry {
                        break;
                    }
                }
            }
        }
        Err(last_failure.unwrap_or_else(|| Failure::Usage("--server is missing".to_owned())))
    }

    /// Gets a path and returns the body of a successful response.
    pub async fn get(&self, path: &str) -> Result<Value, Failure> {
        let response = self.send(Method::GET, path, None, None).await?;
        response.into_body(path)
    }
}

impl JsonResponse {
    /// Returns the body if the status is a success, or else a failure of `operation`.
    pub fn into_body(self, operation: &str) -> Result<Value, Failure> {
        if (200..300).contains(&self.status) {
            Ok(self.body)
        } else {
            Err(Failure::from_response(operation, self.status, &self.body))
        }
    }
}

fn parse_response(operation: &str, response: &Response<Bytes>) -> Result<JsonResponse, Failure> {
    let status = response.status().as_u16();
    let change = response.headers().get("godwitstep-change");
    let body = serde_json::from_slice(response.body()).map_err(|error| {
        Failure::Failed(format!(
            "{operation}: the response ({status}) is not JSON: {error}"
        ))
    })?;
    Ok(JsonResponse {
        status,
        change: change
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body,
    })
}
