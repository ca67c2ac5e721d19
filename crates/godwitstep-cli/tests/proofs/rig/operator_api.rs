//! Requests to the operators' HTTP interface of an entry.

use bytes::Bytes;
use godwitstep::http::Client;
use hyper::{Method, Request};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit of one request, including its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request and returns the status code and the document of the response. The status is 0 if
/// no complete response arrived.
pub fn operator_request(
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
    let request = request.body(body).expect("the request is valid");
    match smol::block_on(Client::new(server).exchange(request, REQUEST_TIMEOUT)) {
        Ok(response) => {
            let status = response.status().as_u16();
            let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
            (status, value)
        }
        Err(_) => (0, Value::Null),
    }
}

/// Reads a document; `Null` if the response is not 200.
pub fn get(server: SocketAddr, path: &str) -> Value {
    match operator_request(server, Method::GET, path, None, None) {
        (200, value) => value,
        _ => Value::Null,
    }
}
