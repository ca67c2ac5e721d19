//! A blocking HTTP client with one connection for each call.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request and returns the status and the body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    call_with_timeout(address, method, path, body, Duration::from_secs(5))
}

/// Sends a request and returns the status and the body of the response. The timeout
/// applies to each read from the connection.
pub fn call_with_timeout(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(timeout))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n");
    write!(stream, "{head}connection: close\r\n\r\n{body}")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let status = response.get(9..12).and_then(|digits| digits.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_owned()))
}
