//! The routes of one config, by host.

use std::cmp::Reverse;

use galenastream_adapter::{CallerLimits, ConfigVersion, Route, RoutingConfig, ServiceConfig};
use galenastream_utils::FastMap;

/// The routes of one config, by host.
#[derive(Debug)]
pub struct RoutingTable {
    /// The version of the config.
    pub version: ConfigVersion,
    /// What a caller may send.
    pub limits: CallerLimits,
    routes: FastMap<String, Vec<Route>>,
    services: FastMap<String, ServiceConfig>,
}

/// What the routes say of a request.
#[derive(Debug, Clone, Copy)]
pub enum RouteMatch<'a> {
    /// This route has it.
    Found(&'a Route),
    /// No route has it.
    Missing,
}

impl RoutingTable {
    /// Arranges a config.
    pub fn new(config: RoutingConfig) -> Self {
        let mut routes: FastMap<String, Vec<Route>> = FastMap::default();
        for route in config.routes {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for of_host in routes.values_mut() {
            // The first match is then the longest one.
            of_host.sort_by_key(|it| Reverse(it.prefix.len()));
        }
        let services = config.services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Self { version: config.version, limits: config.limits, routes, services }
    }

    /// Finds the route of a request.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let of_host = self.routes.get(&host).map_or(&[][..], |it| it);
        match of_host.iter().find(|it| path.starts_with(&it.prefix)) {
            Some(route) => RouteMatch::Found(route),
            None => RouteMatch::Missing,
        }
    }

    /// What operators say of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// The least target latency of the routes to a service.
    pub fn min_target_latency_ms(&self, service: &str) -> Option<u64> {
        let routes = self.routes.values().flatten();
        let to_service = routes.filter(|it| it.destinations.iter().any(|it| it.service == service));
        to_service.map(|it| it.target_latency_ms).min()
    }

    /// The services whose targets hold keys.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values().filter(|it| it.holds_keys)
    }
}
