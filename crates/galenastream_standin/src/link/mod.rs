//! A TCP proxy on loopback that injects faults into the connections that pass through it.

mod fault_proxy;
mod link_fault;
mod relay;

pub use fault_proxy::FaultProxy;
pub use link_fault::LinkFault;
