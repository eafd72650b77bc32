//! Chooses listen addresses for the processes and fakes of a run.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

/// Ports below the ephemeral range of the system.
///
/// An ephemeral port may have belonged to another process before, and calls that still go to that
/// process would be included in the measurement.
const PORT_RANGE: Range<u16> = 15_000..32_000;

/// Returns a loopback address with a free port.
pub fn free_address() -> SocketAddr {
    loop {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, rand::random_range(PORT_RANGE)));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
