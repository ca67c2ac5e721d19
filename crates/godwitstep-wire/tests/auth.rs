//! Authentication of links.

use godwitstep_wire::auth::{Exchange, Key, KeyTooShort, Side};
use godwitstep_wire::{PROTOCOL_VERSION, Peer, Role};

const EXCHANGE: Exchange = Exchange {
    version: PROTOCOL_VERSION,
    listener: [1; 32],
    dialler: [2; 32],
};

fn peer() -> Peer {
    Peer {
        name: "agent-1".into(),
        role: Role::Agent,
        incarnation: 7,
        region: "dk-vest".into(),
        domain: "dk-vest-a".into(),
    }
}

fn key() -> Key {
    Key::new("a key for the tests".into()).expect("long enough")
}

/// Guards against a MAC that does not cover one of its inputs.
#[test]
fn every_input_changes_the_mac() {
    let mac = EXCHANGE.sign(&key(), Side::Dialler, &peer());
    assert!(EXCHANGE.verify(&key(), Side::Dialler, &peer(), &mac));
    let other_key = Key::new("another key for the tests".into()).expect("long enough");
    assert!(!EXCHANGE.verify(&other_key, Side::Dialler, &peer(), &mac));
    assert!(!EXCHANGE.verify(&key(), Side::Listener, &peer(), &mac));
    for exchange in [
        Exchange {
            version: PROTOCOL_VERSION + 1,
            ..EXCHANGE
        },
        Exchange {
            listener: [3; 32],
            ..EXCHANGE
        },
        Exchange {
            dialler: [3; 32],
            ..EXCHANGE
        },
        Exchange {
            listener: [2; 32],
            dialler: [1; 32],
            ..EXCHANGE
        },
    ] {
        assert!(!exchange.verify(&key(), Side::Dialler, &peer(), &mac));
    }
    for modify in [
        |peer: &mut Peer| peer.name = "agent-2".into(),
        |peer: &mut Peer| peer.role = Role::Entry,
        |peer: &mut Peer| peer.incarnation += 1,
        |peer: &mut Peer| peer.region = "pilbara-coast".into(),
        |peer: &mut Peer| peer.domain = "dk-vest-b".into(),
    ] {
        let mut modified = peer();
        modify(&mut modified);
        assert!(!EXCHANGE.verify(&key(), Side::Dialler, &modified, &mac));
    }
}

/// Guards against a key that appears in logs, and against keys that are short enough to guess.
#[test]
fn key_is_not_printed_and_not_short() {
    assert!(!format!("{:?}", key()).contains("tests"));
    assert_eq!(
        Key::new("short".into()).map(|_| ()),
        Err(KeyTooShort { size: 5 })
    );
}
