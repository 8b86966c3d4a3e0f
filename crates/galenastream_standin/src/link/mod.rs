//! A TCP proxy on loopback that injects faults into the connections that pass through it.

mod fault_proxy;
mod host_set;
mod link_fault;
mod relay;

pub use fault_proxy::FaultProxy;
pub use host_set::HostSet;
pub use link_fault::LinkFault;
