//! Exchanges with the operators' interface.

use bytes::Bytes;
use godwitstep::http::Client;
use hyper::{Method, Request};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest exchange.
const LIMIT: Duration = Duration::from_secs(10);

/// Sends a request and returns the status and the document; status 0 if no whole answer came.
pub fn call(
    server: SocketAddr,
    method: Method,
    path: &str,
    version: Option<u64>,
    body: Option<&Value>,
) -> (u16, Value) {
    let mut request = Request::builder().method(method).uri(path);
    if let Some(version) = version {
        request = request.header("if-match", version.to_string());
    }
    let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
    let request = request.body(body).expect("legal parts make a request");
    match smol::block_on(Client::new(server).exchange(request, LIMIT)) {
        Ok(answer) => {
            let status = answer.status().as_u16();
            let value = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
            (status, value)
        }
        Err(_) => (0, Value::Null),
    }
}

/// Reads a document; `Null` if there is none.
pub fn get(server: SocketAddr, path: &str) -> Value {
    match call(server, Method::GET, path, None, None) {
        (200, value) => value,
        _ => Value::Null,
    }
}
