//! Proof that both ends of a link know the same key.
//!
//! Each end sends a random nonce and a MAC over the protocol version, both nonces and its own
//! identity. A MAC is bound to the side that sends it, so that a dialler's proof can't be sent
//! back to it as the listener's.
//!
//! ```
//! use godwitstep_wire::auth::{Exchange, Key, Side};
//! use godwitstep_wire::{Peer, Role};
//!
//! let key = Key::new("0123456789abcdef".into()).expect("long enough");
//! let peer = Peer {
//!     name: "agent-1".into(),
//!     role: Role::Agent,
//!     incarnation: 1,
//!     region: "dk-vest".into(),
//!     domain: "dk-vest-a".into(),
//! };
//! let exchange = Exchange { version: 1, listener: [1; 32], dialler: [2; 32] };
//! let mac = exchange.sign(&key, Side::Dialler, &peer);
//! assert!(exchange.verify(&key, Side::Dialler, &peer, &mac));
//! assert!(!exchange.verify(&key, Side::Listener, &peer, &mac));
//! ```

use crate::Peer;
use hmac::{Hmac, KeyInit, Mac};
use serde::Deserialize;
use sha2::Sha256;
use std::fmt;

/// Size of a nonce. Unit: bytes.
pub const NONCE: usize = 32;
/// Size of a MAC. Unit: bytes.
pub const MAC: usize = 32;
/// Shortest key. A shorter one could be found by trying all of them. Unit: bytes.
pub const MIN_KEY: usize = 16;

/// The key that all processes of a deployment share. It is never printed or encoded.
#[derive(Clone, Deserialize)]
#[serde(try_from = "String")]
pub struct Key(Vec<u8>);

/// A key is shorter than [`MIN_KEY`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("link key of {size} bytes is shorter than {MIN_KEY}")]
pub struct KeyTooShort {
    /// Size of the key in bytes.
    pub size: usize,
}

impl Key {
    /// Returns the key with the bytes of `text`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is shorter than [`MIN_KEY`].
    pub fn new(text: String) -> Result<Self, KeyTooShort> {
        match text.len() {
            size if size < MIN_KEY => Err(KeyTooShort { size }),
            _ => Ok(Self(text.into_bytes())),
        }
    }
}

impl TryFrom<String> for Key {
    type Error = KeyTooShort;

    fn try_from(text: String) -> Result<Self, KeyTooShort> {
        Self::new(text)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Which end of the link sends a MAC.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that accepted the connection.
    Listener,
    /// The end that opened the connection.
    Dialler,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Listener => b"godwitstep link listener",
            Self::Dialler => b"godwitstep link dialler\0",
        }
    }
}

/// What both ends agreed on before they prove their identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// Protocol version of both ends.
    pub version: u16,
    /// Nonce of the listener.
    pub listener: [u8; NONCE],
    /// Nonce of the dialler.
    pub dialler: [u8; NONCE],
}

impl Exchange {
    /// Returns the MAC that `side`, known as `peer`, sends.
    #[must_use]
    pub fn sign(&self, key: &Key, side: Side, peer: &Peer) -> [u8; MAC] {
        self.mac(key, side, peer).finalize().into_bytes().into()
    }

    /// Reports whether `mac` is the one that `side`, known as `peer`, sends. Takes the same time
    /// whatever the first wrong byte is.
    #[must_use]
    pub fn verify(&self, key: &Key, side: Side, peer: &Peer, mac: &[u8; MAC]) -> bool {
        self.mac(key, side, peer).verify_slice(mac).is_ok()
    }

    // All fields but the last have a fixed length, so no two exchanges give the same input.
    fn mac(&self, key: &Key, side: Side, peer: &Peer) -> Hmac<Sha256> {
        let mut identity = Vec::with_capacity(128);
        ciborium::into_writer(peer, &mut identity).expect("identities encode to memory");
        let mut mac = Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC takes any key length");
        mac.update(side.label());
        mac.update(&self.version.to_be_bytes());
        mac.update(&self.listener);
        mac.update(&self.dialler);
        mac.update(&identity);
        mac
    }
}
