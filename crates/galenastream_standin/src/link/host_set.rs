//! A set of hosts.

/// A set of hosts of a local deployment, by the last octets of their addresses, which are below 64.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostSet {
    bits: u64,
}

impl HostSet {
    /// No host.
    pub const NONE: Self = Self { bits: 0 };

    /// All hosts, also those of connections whose host is not known.
    pub const ALL: Self = Self { bits: u64::MAX };

    /// Adds a host.
    pub fn with(self, host: u8) -> Self {
        Self { bits: self.bits | 1 << (host % 64) }
    }

    /// Returns whether the set contains a host.
    pub fn contains(self, host: u8) -> bool {
        self.bits & 1 << (host % 64) != 0
    }

    pub(super) fn holds_back(self, host: Option<u8>) -> bool {
        match host {
            Some(host) => self.contains(host),
            None => self == Self::ALL,
        }
    }
}
