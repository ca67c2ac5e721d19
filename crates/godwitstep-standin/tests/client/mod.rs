//! A blocking HTTP client with one connection for each call.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Returns the status and the body.
pub fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<(u16, String)> {
    call_within(at, method, path, body, Duration::from_secs(5))
}

pub fn call_within(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(limit))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n");
    write!(stream, "{head}connection: close\r\n\r\n{body}")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.get(9..12).and_then(|digits| digits.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}
