//! Lookup of routes and services in one version of the config.

use std::cmp::Reverse;

use galenastream_adapter::{CallerLimits, ConfigVersion, Route, RoutingConfig, ServiceConfig};
use galenastream_utils::{BootInstant, FastMap};

/// The routes and services of one version of the config, arranged for lookup.
#[derive(Debug)]
pub struct RoutingTable {
    /// The version of the config.
    pub version: ConfigVersion,
    /// Limits for the requests of callers.
    pub limits: CallerLimits,
    /// When this node put the config in force.
    pub in_force_since: BootInstant,
    routes: FastMap<String, Vec<Route>>,
    services: FastMap<String, ServiceConfig>,
}

/// Result of the lookup of a request's route.
#[derive(Debug, Clone, Copy)]
pub enum RouteMatch<'a> {
    /// The route that matches the request.
    Found(&'a Route),
    /// No route matches the request.
    Missing,
}

impl RoutingTable {
    /// Builds the table of a config.
    pub fn new(config: RoutingConfig) -> Self {
        let mut routes: FastMap<String, Vec<Route>> = FastMap::default();
        for route in config.routes {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for host_routes in routes.values_mut() {
            // Longest prefix first, so that the first match is the most specific one.
            host_routes.sort_by_key(|it| Reverse(it.prefix.len()));
        }
        let services = config.services.into_iter().map(|it| (it.name.clone(), it)).collect();
        let (version, limits) = (config.version, config.limits);
        Self { version, limits, in_force_since: BootInstant::default(), routes, services }
    }

    /// Sets when the config was put in force.
    pub fn with_in_force_since(self, in_force_since: BootInstant) -> Self {
        Self { in_force_since, ..self }
    }

    /// Finds the route with this host and the longest prefix of the path. The case and the port of
    /// the host are ignored.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let host_routes = self.routes.get(&host).map_or(&[][..], |it| it);
        match host_routes.iter().find(|it| path.starts_with(&it.prefix)) {
            Some(route) => RouteMatch::Found(route),
            None => RouteMatch::Missing,
        }
    }

    /// Returns the configuration of a service, or `None` if the config does not name it.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// Returns the lowest target latency of the routes to a service, in milliseconds, or `None` if
    /// there is no route.
    pub fn min_target_latency_ms(&self, service: &str) -> Option<u64> {
        let routes = self.routes.values().flatten();
        let to_service = routes.filter(|it| it.destinations.iter().any(|it| it.service == service));
        to_service.map(|it| it.target_latency_ms).min()
    }

    /// Iterates over the services whose targets hold keys.
    pub fn keyed_services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values().filter(|it| it.holds_keys)
    }
}
