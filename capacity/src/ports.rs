//! Addresses for everything that listens in a run.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

/// Ports below those that the system gives to sockets without a wish.
///
/// Such a port may have been another process's before, and whoever still calls it there would be
/// counted in.
const PORT_RANGE: Range<u16> = 15_000..32_000;

/// A loopback address that nobody listens on.
pub fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORT_RANGE)));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
