//! Hints on who owns which key.

use std::collections::BTreeMap;

use galenastream_ownership::{Epoch, FastMap, KeyHash, ServiceId, VmId};

/// The most routes that one service keeps. Beyond it the cache starts anew.
const MAX_ROUTES: usize = 1_000_000;

/// Hints on who owns which key. Only the owner's lease is authority.
#[derive(Debug, Clone, Default)]
pub struct RouteCache {
    services: FastMap<ServiceId, BTreeMap<KeyHash, Route>>,
}

/// A slice and its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The first position.
    pub first: KeyHash,
    /// The last position.
    pub last: KeyHash,
    /// The slice's epoch.
    pub epoch: Epoch,
    /// The owner.
    pub owner: VmId,
}

impl RouteCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// The route of a position, if one is known.
    pub fn find(&self, service: ServiceId, hash: KeyHash) -> Option<Route> {
        let (_, route) = self.services.get(&service)?.range(..=hash).next_back()?;
        (hash <= route.last).then_some(*route)
    }

    /// Takes a route in, in place of the ones that it overlaps, unless one of them is newer.
    pub fn learn(&mut self, service: ServiceId, route: Route) -> bool {
        let routes = self.services.entry(service).or_default();
        let overlapped: Vec<Route> = overlapping(routes, route).collect();
        if overlapped.iter().any(|it| it.epoch > route.epoch) {
            return false;
        }
        for old in overlapped {
            routes.remove(&old.first);
        }
        if routes.len() >= MAX_ROUTES {
            routes.clear();
        }
        routes.insert(route.first, route);
        true
    }

    /// Forgets a route that proved wrong, unless a newer one has taken its place.
    pub fn forget(&mut self, service: ServiceId, wrong: Route) {
        let Some(routes) = self.services.get_mut(&service) else {
            return;
        };
        if routes.get(&wrong.first) == Some(&wrong) {
            routes.remove(&wrong.first);
        }
    }

    /// Forgets all routes to a VM that cannot be reached.
    pub fn forget_vm(&mut self, vm: VmId) {
        for routes in self.services.values_mut() {
            routes.retain(|_, route| route.owner != vm);
        }
    }

    /// How many routes are known.
    pub fn len(&self) -> usize {
        self.services.values().map(BTreeMap::len).sum()
    }

    /// Whether no route is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn overlapping(
    routes: &BTreeMap<KeyHash, Route>,
    route: Route,
) -> impl Iterator<Item = Route> + '_ {
    routes
        .range(..=route.last)
        .rev()
        .map(|(_, known)| *known)
        .take_while(move |known| known.last >= route.first)
}
