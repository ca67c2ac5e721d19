//! Responses that are streamed as JSON lines.

use crate::failure::Failure;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use serde_json::Value;
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the connection and the head of the response.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without received data after which a connection is considered lost. Entries send a bookmark
/// every 5 s, so this is three missing bookmarks.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum length of a line. Unit: bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Error that ends a stream of lines.
#[derive(Debug)]
pub enum StreamError {
    /// The connection failed or was lost, or the server is not ready; a new attempt may succeed.
    Interrupted(String),
    /// The server refused the request.
    Refused(Failure),
}

/// Stream of the JSON lines of one response.
pub struct JsonLines {
    body: Incoming,
    /// Received bytes that have not been returned.
    buffer: BytesMut,
    /// Performs the I/O of the connection until this value is dropped.
    _driver: smol::Task<()>,
}

impl JsonLines {
    /// Sends a GET request and waits for the head of the response.
    pub async fn open(server: SocketAddr, path: &str) -> Result<Self, StreamError> {
        let timeout = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(StreamError::Interrupted(format!(
                "{server} did not respond"
            )))
        };
        let (response, driver) = Self::request(server, path).or(timeout).await?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(Self {
                body: response.into_body(),
                buffer: BytesMut::new(),
                _driver: driver,
            });
        }
        let body = Limited::new(response.into_body(), MAX_LINE_BYTES)
            .collect()
            .await;
        let body = body.map(http_body_util::Collected::to_bytes);
        let body = body
            .ok()
            .and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok())
            .unwrap_or_default();
        let failure = Failure::from_response(&format!("GET {path}"), status, &body);
        match status {
            503 => Err(StreamError::Interrupted(failure.to_string())),
            _ => Err(StreamError::Refused(failure)),
        }
    }

    async fn request(
        server: SocketAddr,
        path: &str,
    ) -> Result<(Response<Incoming>, smol::Task<()>), StreamError> {
        let interrupted =
            |error: &dyn std::fmt::Display| StreamError::Interrupted(format!("{server}: {error}"));
        let stream = TcpStream::connect(server)
            .await
            .map_err(|error| interrupted(&error))?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| interrupted(&error))?;
        let driver = smol::spawn(async move {
            // The body of the response ends with the same error.
            let _ = connection.await;
        });
        let request = Request::get(path)
            .header("host", server.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| interrupted(&error))?;
        let response = sender.send_request(request).await;
        Ok((response.map_err(|error| interrupted(&error))?, driver))
    }

    /// Waits for the next line and parses it.
    pub async fn next(&mut self) -> Result<Value, StreamError> {
        loop {
            if let Some(line_end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(line_end);
                self.buffer.advance(1);
                return serde_json::from_slice(&line).map_err(|error| {
                    StreamError::Interrupted(format!("a line is not JSON: {error}"))
                });
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(StreamError::Interrupted(format!(
                    "a line exceeds {MAX_LINE_BYTES} bytes"
                )));
            }
            let timeout = async {
                Timer::after(IDLE_TIMEOUT).await;
                Some(Err("the connection timed out".to_owned()))
            };
            let frame = async {
                let frame = self.body.frame().await?;
                Some(frame.map_err(|error| error.to_string()))
            };
            match frame.or(timeout).await {
                None => {
                    return Err(StreamError::Interrupted(
                        "the server closed the stream".to_owned(),
                    ));
                }
                Some(Err(error)) => return Err(StreamError::Interrupted(error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
