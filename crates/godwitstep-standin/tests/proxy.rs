//! Faults that the proxy injects into connections to an echo server.

use godwitstep_standin::proxy::{
    Control, DirectionControl, Faults, Handle, Proxy, RandomFaults, Settings,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

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

fn connect(proxy: &Handle) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    stream
}

/// Sends and returns what came back and how reading ended.
fn echo(stream: &mut TcpStream, text: &[u8]) -> (Vec<u8>, Option<ErrorKind>) {
    stream.write_all(text).unwrap();
    let mut back = vec![0; text.len()];
    let mut count = 0;
    while count < back.len() {
        match stream.read(&mut back[count..]) {
            Ok(0) => return (back[..count].to_vec(), Some(ErrorKind::UnexpectedEof)),
            Ok(more) => count += more,
            Err(error) => return (back[..count].to_vec(), Some(error.kind())),
        }
    }
    (back, None)
}

fn backward(backward: DirectionControl) -> Control {
    Control {
        backward,
        ..Control::default()
    }
}

/// Guards against a cut that leaves connections open or accepts new ones, and a lost port.
#[test]
fn a_cut_resets_all_and_refuses_until_it_is_healed() {
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

/// Guards against silence that ends or that reaches new connections.
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

/// Guards against a one-way cut that loses or reorders bytes of a stream that lives on.
#[test]
fn a_stalled_direction_delivers_after_the_fault() {
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

/// Guards against resets that fall on the end of a write instead of the middle of a frame.
#[test]
fn a_connection_is_reset_after_the_given_bytes() {
    let proxy = start();
    let reset_after = Some(5);
    proxy.control(&backward(DirectionControl {
        reset_after,
        ..DirectionControl::default()
    }));
    let (back, end) = echo(&mut connect(&proxy), b"0123456789");
    assert_eq!(
        (&back[..], end),
        (&b"01234"[..], Some(ErrorKind::ConnectionReset))
    );
}

/// Guards against delays and rates that are not applied or that break the order.
#[test]
fn delay_and_rate_slow_the_bytes_down() {
    let proxy = start();
    proxy.control(&backward(DirectionControl {
        delay_ms: Some(50),
        jitter_ms: Some(20),
        rate: Some(10_000),
        ..DirectionControl::default()
    }));
    let text: Vec<u8> = (0..2000_u16).map(|n| n.to_le_bytes()[0]).collect();
    let begin = Instant::now();
    assert_eq!(echo(&mut connect(&proxy), &text), (text, None));
    assert!(
        begin.elapsed() >= Duration::from_millis(200),
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against a script that never starts a fault or never ends one.
#[test]
fn a_script_of_random_faults_comes_and_goes() {
    let calm = start();
    let proxy = Proxy::start(Settings {
        seed: 3,
        random_faults: Some(RandomFaults {
            mean_interval: Duration::from_millis(20),
            mean_duration: Duration::from_millis(20),
        }),
        ..Settings::new(calm.address)
    })
    .unwrap();
    let begin = Instant::now();
    let (mut faulty, mut healed) = (false, false);
    while !(faulty && healed) {
        assert!(
            begin.elapsed() < Duration::from_secs(5),
            "{faulty} {healed}"
        );
        let calm_now = proxy.faults() == Faults::default();
        healed |= faulty && calm_now;
        faulty |= !calm_now;
        std::thread::sleep(Duration::from_millis(2));
    }
}
