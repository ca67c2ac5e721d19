//! What the clients of a crowd send.

use godwitstep_standin::crowd::{Behaviour, Client, Crowd};
use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

/// Time without a byte after which a client has sent all it has to send.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Returns what one client sends on its first connection to a server that reads and does not answer.
fn received(behaviour: Behaviour, body_bytes: usize) -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let client = Client {
        behaviour,
        head: "POST / HTTP/1.1\r\n".to_owned(),
        body_bytes,
    };
    let address = listener.local_addr().expect("an address");
    let crowd = Crowd::start(address, vec![client]).expect("threads can be started");
    let (mut stream, _) = listener.accept().expect("the client connects");
    stream
        .set_read_timeout(Some(QUIET_TIME))
        .expect("a time above 0");
    let (mut received, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => panic!("{behaviour:?} closes its connection"),
            Ok(count) => received.extend(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => panic!("{behaviour:?}: {error}"),
        }
    }
    assert!(crowd.has_arrived(), "{behaviour:?}");
    assert_eq!(crowd.stop().connections, 1);
    received
}

/// Guards against crowds that complete their requests or send too little, with which the tests of servers prove nothing.
#[test]
fn bodies_stop_just_short_of_their_end() {
    const HEAD_WITH_LENGTH: usize = "POST / HTTP/1.1\r\ncontent-length: 100000\r\n\r\n".len();
    for behaviour in [Behaviour::WholeBody, Behaviour::Pieces] {
        let length = received(behaviour, 100_000).len();
        assert_eq!(length, HEAD_WITH_LENGTH + 100_000 - 8, "{behaviour:?}");
    }
    let head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let bytes = received(Behaviour::LargeChunks, 40_000);
    let chunks = bytes.strip_prefix(head).expect("a chunked head");
    assert!(chunks.starts_with(b"8000\r\n"));
    // 40,000 bytes are a chunk of 0x8000 and one of 0x1c40, each after six bytes with its size.
    assert_eq!(chunks.len(), 6 + 0x8000 + 2 + 6 + 0x1c40 - 8);
    let bytes = received(Behaviour::TinyChunks, 4_096);
    let chunks = bytes.strip_prefix(head).expect("a chunked head");
    assert_eq!(chunks, b"1\r\n \r\n".repeat(3 * 1_024));
}
