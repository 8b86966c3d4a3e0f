//! The identity of a VM.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
};

/// A VM, named by the address at which its node listens for other nodes.
///
/// The UDP and the TCP listener share the address, so an id is all that is needed to reach a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VmId(u64);

impl VmId {
    /// Reads an id from its number, as messages and rows carry it.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// The number that messages and rows carry.
    pub const fn bits(self) -> u64 {
        self.0
    }

    /// The address at which the VM's node listens for other nodes.
    pub fn address(self) -> SocketAddrV4 {
        let [_, _, a, b, c, d, port_high, port_low] = self.0.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([port_high, port_low]))
    }
}

impl From<SocketAddrV4> for VmId {
    fn from(address: SocketAddrV4) -> Self {
        let ip = u64::from(u32::from(*address.ip()));
        Self(ip << 16 | u64::from(address.port()))
    }
}

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.address().fmt(f)
    }
}
