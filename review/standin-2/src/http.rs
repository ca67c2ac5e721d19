//! Small blocking HTTP/1.1 server and client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a handler receives it.
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A response of a handler.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves requests at an address until the process ends.
pub fn serve<H>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            std::thread::spawn(move || {
                // Fails when the client closes the connection.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(())
}

fn serve_connection<H>(stream: TcpStream, handler: &H) -> std::io::Result<()>
where
    H: Fn(Request) -> Response,
{
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let response = handler(request);
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
        .collect();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

type Head = (String, HashMap<String, String>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(
    reader: &mut impl Read,
    headers: &HashMap<String, String>,
) -> std::io::Result<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends one request on a connection of its own. Returns `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    time: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, time).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("content-type: application/json\r\nconnection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
