//! Memory of a response that arrives in chunks of one byte.
//!
//! This is the only test of the file, so that no other test in the process changes the measured size.

use bytes::Bytes;
use godwitstep::http::Client;
use godwitstep_standin::usage::peak_kib;
use hyper::Request;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Size of the response's body. Unit: bytes.
const BODY_BYTES: usize = 1024 * 1024;
/// Maximum growth of the memory of the process, server included. Unit: KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;
/// Only a client that hangs exceeds it.
const TIMEOUT: Duration = Duration::from_secs(60);

fn respond(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _length = stream.read(&mut request)?;
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
    let chunks = "1\r\nx\r\n".repeat(1_024);
    for _ in 0..BODY_BYTES / 1_024 {
        stream.write_all(chunks.as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

/// Guards against a client that keeps an object, and the read buffer, for each chunk of a response.
#[test]
fn a_response_in_tiny_chunks_takes_its_own_size() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("the client connects");
        respond(stream)
    });
    let pid = std::process::id();
    let before = peak_kib(pid).expect("the process runs");
    let request = Request::get("/").body(Bytes::new()).expect("a request");
    let client = Client::new(address);
    let response = smol::block_on(client.exchange(request, TIMEOUT)).expect("a response");
    assert_eq!(response.body().len(), BODY_BYTES);
    let growth = peak_kib(pid).expect("the process runs") - before;
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
    let sent = server.join().expect("the server does not panic");
    sent.expect("the response is sent");
}
