//! Hints on who owns which key, shared by the traffic threads.

use std::sync::{PoisonError, RwLock};

use galenastream_ownership::{Epoch, KeyHash, ServiceId, VmId};
use galenastream_routing::{Route, RouteCache};
use galenastream_wire::RouteReply;

/// Hints on who owns which key, shared by the traffic threads.
#[derive(Debug, Default)]
pub struct RouteTable {
    cache: RwLock<RouteCache>,
}

impl RouteTable {
    /// The route of a position, if one is known.
    pub fn find(&self, service: ServiceId, hash: KeyHash) -> Option<Route> {
        self.cache.read().unwrap_or_else(PoisonError::into_inner).find(service, hash)
    }

    /// Takes a route in, unless a newer one is known.
    pub fn learn(&self, service: ServiceId, route: Route) {
        self.cache.write().unwrap_or_else(PoisonError::into_inner).learn(service, route);
    }

    /// Takes the route in that another node named, if it names an owner.
    pub fn learn_reply(&self, reply: &RouteReply) -> Option<Route> {
        let route = route_of(reply)?;
        self.learn(ServiceId(reply.service), route);
        Some(route)
    }

    /// Forgets a route that proved wrong.
    pub fn forget(&self, service: ServiceId, wrong: Route) {
        self.cache.write().unwrap_or_else(PoisonError::into_inner).forget(service, wrong);
    }

    /// Forgets all routes to a VM that cannot be reached.
    pub fn forget_vm(&self, vm: VmId) {
        self.cache.write().unwrap_or_else(PoisonError::into_inner).forget_vm(vm);
    }
}

/// The route that another node named; `None` if it names no owner.
pub fn route_of(reply: &RouteReply) -> Option<Route> {
    if reply.owner == 0 || reply.first > reply.last {
        return None;
    }
    Some(Route {
        first: KeyHash(reply.first),
        last: KeyHash(reply.last),
        epoch: Epoch(reply.epoch),
        owner: VmId::from_bits(reply.owner),
    })
}
