//! `config explain`: shows the route that a request matches.

use clap::ArgMatches;
use galenastream_adapter::Route;
use galenastream_node::{RouteMatch, RoutingTable};
use serde::Serialize;

use crate::{
    CtlError, OutputFormat,
    request::{config_source::read_config, required_argument},
};

#[derive(Serialize)]
struct ExplainResult {
    version: u64,
    route: Option<RouteDocument>,
}

#[derive(Serialize)]
struct RouteDocument {
    name: String,
    prefix: String,
    is_idempotent: bool,
    timeout_ms: u64,
    target_latency_ms: u64,
    rank: u8,
    max_attempts: u32,
    destinations: Vec<DestinationDocument>,
}

#[derive(Serialize)]
struct DestinationDocument {
    service: String,
    weight: f64,
    holds_keys: bool,
}

pub(crate) async fn run(matches: &ArgMatches, output: OutputFormat) -> Result<(), CtlError> {
    let config = read_config(matches).await?;
    let version = config.version.0;
    let routing = RoutingTable::new(config);
    let route = match routing
        .find(required_argument(matches, "host"), required_argument(matches, "path"))
    {
        RouteMatch::Found(route) => Some(route_document(&routing, route)),
        RouteMatch::Missing => None,
    };
    let result = ExplainResult { version, route };
    output.print(&result, &to_text(&result));
    Ok(())
}

fn route_document(routing: &RoutingTable, route: &Route) -> RouteDocument {
    let mut destinations = Vec::new();
    for destination in &route.destinations {
        let rules = routing.service(&destination.service);
        destinations.push(DestinationDocument {
            service: destination.service.clone(),
            weight: destination.weight,
            holds_keys: rules.is_some_and(|it| it.holds_keys),
        });
    }
    RouteDocument {
        name: route.name.clone(),
        prefix: route.prefix.clone(),
        is_idempotent: route.kind.is_idempotent(),
        timeout_ms: route.timeout_ms,
        target_latency_ms: route.target_latency_ms,
        rank: route.rank,
        max_attempts: route.max_attempts,
        destinations,
    }
}

fn to_text(result: &ExplainResult) -> String {
    let Some(route) = &result.route else {
        return format!(
            "version {}: no route matches the request; nodes respond with 404",
            result.version
        );
    };
    let retry_rule = match route.is_idempotent {
        true => "idempotent, may run more than once",
        false => "not idempotent, runs at most once",
    };
    let mut lines = vec![
        format!("version {}: route {} at {}", result.version, route.name, route.prefix),
        format!("  {retry_rule}, rank {}, at most {} targets", route.rank, route.max_attempts),
        format!("  timeout {} ms, target latency {} ms", route.timeout_ms, route.target_latency_ms),
    ];
    for destination in &route.destinations {
        let dispatch = if destination.holds_keys { "by key" } else { "at any target" };
        lines.push(format!(
            "  to {} {dispatch}, weight {}",
            destination.service, destination.weight
        ));
    }
    lines.join("\n")
}
