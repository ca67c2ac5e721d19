//! Mutual authentication of the two ends of a link by a shared key.
//!
//! Each end sends a random nonce and a MAC over the protocol version, both nonces and its own
//! identity. The MAC also covers the side that sends it, so that a dialler's MAC can't be reflected
//! to it as the listener's.
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
pub const NONCE_BYTES: usize = 32;
/// Size of a MAC. Unit: bytes.
pub const MAC_BYTES: usize = 32;
/// Minimum size of a key. A shorter one could be found by brute force. Unit: bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// Secret key that all processes of a deployment share. It is never printed or encoded.
#[derive(Clone, Deserialize)]
#[serde(try_from = "String")]
pub struct Key(Vec<u8>);

/// Error of a key that is shorter than [`MIN_KEY_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("link key of {size} bytes is shorter than {MIN_KEY_BYTES}")]
pub struct KeyTooShort {
    /// Size of the key in bytes.
    pub size: usize,
}

impl Key {
    /// Creates a key from the bytes of `text`.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is shorter than [`MIN_KEY_BYTES`].
    pub fn new(text: String) -> Result<Self, KeyTooShort> {
        match text.len() {
            size if size < MIN_KEY_BYTES => Err(KeyTooShort { size }),
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

/// End of a link that sends a MAC.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The end that accepted the connection.
    Listener,
    /// The end that opened the connection.
    Dialler,
}

impl Side {
    /// Returns the prefix of the MAC input. Both prefixes have the same length.
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Listener => b"godwitstep link listener",
            Self::Dialler => b"godwitstep link dialler\0",
        }
    }
}

/// Values that both ends know before they authenticate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// Protocol version of both ends.
    pub version: u16,
    /// Nonce of the listener.
    pub listener: [u8; NONCE_BYTES],
    /// Nonce of the dialler.
    pub dialler: [u8; NONCE_BYTES],
}

impl Exchange {
    /// Returns the MAC that `side` sends to authenticate as `peer`.
    #[must_use]
    pub fn sign(&self, key: &Key, side: Side, peer: &Peer) -> [u8; MAC_BYTES] {
        self.compute_mac(key, side, peer)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Reports whether `mac` authenticates `side` as `peer`. Compares in constant time.
    #[must_use]
    pub fn verify(&self, key: &Key, side: Side, peer: &Peer, mac: &[u8; MAC_BYTES]) -> bool {
        self.compute_mac(key, side, peer).verify_slice(mac).is_ok()
    }

    // All inputs but the last have a fixed length, so no two exchanges give the same MAC input.
    fn compute_mac(&self, key: &Key, side: Side, peer: &Peer) -> Hmac<Sha256> {
        let mut identity = Vec::with_capacity(128);
        ciborium::into_writer(peer, &mut identity).expect("encoding to memory does not fail");
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&key.0).expect("HMAC accepts keys of any length");
        mac.update(side.label());
        mac.update(&self.version.to_be_bytes());
        mac.update(&self.listener);
        mac.update(&self.dialler);
        mac.update(&identity);
        mac
    }
}
