//! Addresses that other processes name.
//!
//! ```
//! use godwitstep_batch::address::is_usable;
//!
//! assert!(is_usable("10.0.0.1:7000".parse().unwrap()));
//! assert!(!is_usable("0.0.0.0:7000".parse().unwrap()));
//! ```

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Returns whether a process can be reached at an address: a port and the IP address of one host.
#[must_use]
pub fn is_usable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    address.port() != 0
        && !ip.is_unspecified()
        && !ip.is_multicast()
        && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
}
