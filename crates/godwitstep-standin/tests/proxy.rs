//! Tests of the faults that the proxy injects into connections to an echo server.

use godwitstep_standin::proxy::{
    Control, DirectionControl, Faults, Handle, Proxy, RandomFaults, Settings,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Starts an echo server and a proxy to it.
fn start() -> Handle {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let upstream = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().unwrap();
                let _reset = std::io::copy(&mut reader, &mut &stream);
            });
        }
    });
    Proxy::start(Settings::new(upstream)).unwrap()
}

/// Connects with a read timeout of 300 ms.
fn connect(proxy: &Handle) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    stream
}

/// Sends bytes. Returns the bytes that were echoed and, if they are incomplete, the error that
/// ended the read.
fn echo(stream: &mut TcpStream, text: &[u8]) -> (Vec<u8>, Option<ErrorKind>) {
    stream.write_all(text).unwrap();
    let mut received = vec![0; text.len()];
    let mut count = 0;
    while count < received.len() {
        match stream.read(&mut received[count..]) {
            Ok(0) => return (received[..count].to_vec(), Some(ErrorKind::UnexpectedEof)),
            Ok(more) => count += more,
            Err(error) => return (received[..count].to_vec(), Some(error.kind())),
        }
    }
    (received, None)
}

/// Returns a change of the faults from the upstream to the client.
fn backward(backward: DirectionControl) -> Control {
    Control {
        backward,
        ..Control::default()
    }
}

/// Guards against a cut that leaves connections open or accepts new ones, and against the loss of
/// the port during it.
#[test]
fn a_cut_resets_connections_and_refuses_new_ones_until_healed() {
    let proxy = start();
    let mut stream = connect(&proxy);
    assert_eq!(echo(&mut stream, b"one").1, None);
    proxy.control(&Control {
        cut: Some(true),
        ..Control::default()
    });
    let end = stream.read(&mut [0; 1]).unwrap_err().kind();
    assert_eq!(end, ErrorKind::ConnectionReset);
    let refused = TcpStream::connect(proxy.address).unwrap_err().kind();
    assert_eq!(refused, ErrorKind::ConnectionRefused);
    proxy.control(&Control::heal());
    assert_eq!(echo(&mut connect(&proxy), b"two").1, None);
}

/// Guards against silenced connections that recover, and against new connections that are silenced.
#[test]
fn silenced_connections_stay_silent_while_new_ones_work() {
    let proxy = start();
    let mut old = connect(&proxy);
    assert_eq!(echo(&mut old, b"one").1, None);
    proxy.control(&Control {
        silence: true,
        ..Control::default()
    });
    assert_eq!(echo(&mut old, b"two").1, Some(ErrorKind::WouldBlock));
    proxy.control(&Control::heal());
    assert_eq!(echo(&mut old, b"three").1, Some(ErrorKind::WouldBlock));
    assert_eq!(echo(&mut connect(&proxy), b"four").1, None);
}

/// Guards against a one-way stall that loses or reorders bytes of a connection that survives it.
#[test]
fn a_stalled_direction_delivers_its_bytes_after_the_fault() {
    let proxy = start();
    let mut stream = connect(&proxy);
    let stalled = Some(true);
    proxy.control(&backward(DirectionControl {
        stalled,
        ..DirectionControl::default()
    }));
    assert_eq!(echo(&mut stream, b"12").1, Some(ErrorKind::WouldBlock));
    proxy.control(&Control::heal());
    assert_eq!(echo(&mut stream, b"34").0, b"12");
}

/// Guards against resets that occur at the end of a write instead of in the middle of a frame.
#[test]
fn a_connection_is_reset_after_the_configured_number_of_bytes() {
    let proxy = start();
    let reset_after = Some(5);
    proxy.control(&backward(DirectionControl {
        reset_after,
        ..DirectionControl::default()
    }));
    let (received, end) = echo(&mut connect(&proxy), b"0123456789");
    assert_eq!(
        (&received[..], end),
        (&b"01234"[..], Some(ErrorKind::ConnectionReset))
    );
}

/// Guards against delays and rate limits that are not applied or that reorder bytes.
#[test]
fn delay_and_rate_limit_apply_and_preserve_the_order() {
    let proxy = start();
    proxy.control(&backward(DirectionControl {
        delay_ms: Some(50),
        jitter_ms: Some(20),
        rate: Some(10_000),
        ..DirectionControl::default()
    }));
    let text: Vec<u8> = (0..2000_u16).map(|n| n.to_le_bytes()[0]).collect();
    let start_time = Instant::now();
    assert_eq!(echo(&mut connect(&proxy), &text), (text, None));
    assert!(
        start_time.elapsed() >= Duration::from_millis(200),
        "{:?}",
        start_time.elapsed()
    );
}

/// Guards against random faults that never start or never end.
#[test]
fn random_faults_start_and_end() {
    let upstream_proxy = start();
    let proxy = Proxy::start(Settings {
        seed: 3,
        random_faults: Some(RandomFaults {
            mean_interval: Duration::from_millis(20),
            mean_duration: Duration::from_millis(20),
        }),
        ..Settings::new(upstream_proxy.address)
    })
    .unwrap();
    let start_time = Instant::now();
    let (mut fault_seen, mut fault_ended) = (false, false);
    while !(fault_seen && fault_ended) {
        assert!(
            start_time.elapsed() < Duration::from_secs(5),
            "{fault_seen} {fault_ended}"
        );
        let without_faults = proxy.faults() == Faults::default();
        fault_ended |= fault_seen && without_faults;
        fault_seen |= !without_faults;
        std::thread::sleep(Duration::from_millis(2));
    }
}
