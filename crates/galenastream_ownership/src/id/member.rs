//! One life of a VM's node.

use std::fmt;

use crate::VmId;

/// Numbers the lives of a VM's node. A restarted node has a higher one and no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A VM in one life of its node. Rights belong to a member, never to a VM alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// The life of the VM's node.
    pub incarnation: Incarnation,
}

impl Member {
    /// Creates a member.
    pub const fn new(vm: VmId, incarnation: Incarnation) -> Self {
        Self { vm, incarnation }
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.vm, self.incarnation.0)
    }
}
