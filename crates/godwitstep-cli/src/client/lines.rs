//! Answers that are streamed as JSON lines.

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

/// Longest wait for a connection and the head of the answer.
const CONNECT: Duration = Duration::from_secs(5);
/// Longest silence. Entries send a bookmark every 5 s, so after three of them are missing the
/// connection is taken for dead.
const SILENCE: Duration = Duration::from_secs(15);
/// Longest line. Unit: bytes.
const MAX_LINE: usize = 1024 * 1024;

/// Why a stream gave no further line.
#[derive(Debug)]
pub enum End {
    /// The connection can't be made or was lost; another one may do.
    Lost(String),
    /// The server refused.
    Refused(Failure),
}

/// Lines of one answer.
pub struct Lines {
    body: Incoming,
    rest: BytesMut,
    /// Drives the connection as long as this value lives.
    _driver: smol::Task<()>,
}

impl Lines {
    /// Starts a request.
    pub async fn open(server: SocketAddr, path: &str) -> Result<Self, End> {
        let late = async {
            Timer::after(CONNECT).await;
            Err(End::Lost(format!("{server} did not answer")))
        };
        let (response, driver) = Self::request(server, path).or(late).await?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(Self {
                body: response.into_body(),
                rest: BytesMut::new(),
                _driver: driver,
            });
        }
        let body = Limited::new(response.into_body(), MAX_LINE).collect().await;
        let body = body.map(http_body_util::Collected::to_bytes);
        let body = body
            .ok()
            .and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok())
            .unwrap_or_default();
        let failure = Failure::refused(&format!("GET {path}"), status, &body);
        match status {
            503 => Err(End::Lost(failure.to_string())),
            _ => Err(End::Refused(failure)),
        }
    }

    async fn request(
        server: SocketAddr,
        path: &str,
    ) -> Result<(Response<Incoming>, smol::Task<()>), End> {
        let lost = |error: &dyn std::fmt::Display| End::Lost(format!("{server}: {error}"));
        let stream = TcpStream::connect(server)
            .await
            .map_err(|error| lost(&error))?;
        let (mut sender, connection) = http1::handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| lost(&error))?;
        let driver = smol::spawn(async move {
            // The end of the body tells of the same error.
            let _ = connection.await;
        });
        let request = Request::get(path)
            .header("host", server.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| lost(&error))?;
        let response = sender.send_request(request).await;
        Ok((response.map_err(|error| lost(&error))?, driver))
    }

    /// Waits for the next line.
    pub async fn next(&mut self) -> Result<Value, End> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line = self.rest.split_to(end);
                self.rest.advance(1);
                return serde_json::from_slice(&line)
                    .map_err(|error| End::Lost(format!("a line is not JSON: {error}")));
            }
            if self.rest.len() > MAX_LINE {
                return Err(End::Lost(format!("a line exceeds {MAX_LINE} bytes")));
            }
            let late = async {
                Timer::after(SILENCE).await;
                Some(Err("the connection is silent".to_owned()))
            };
            let frame = async {
                let frame = self.body.frame().await?;
                Some(frame.map_err(|error| error.to_string()))
            };
            match frame.or(late).await {
                None => return Err(End::Lost("the server ended the watch".to_owned())),
                Some(Err(error)) => return Err(End::Lost(error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.rest.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
