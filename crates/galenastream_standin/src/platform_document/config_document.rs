//! A config, as operators write it.

use serde_json::{Value, json};

/// The fields of a route of a config.
#[derive(Debug, Clone, Copy)]
pub struct RouteFields<'a> {
    /// The path prefix of the route, which is also its name.
    pub prefix: &'a str,
    /// Whether the requests of the route are idempotent, so that they may run more than once.
    pub is_idempotent: bool,
    /// The service that runs the requests.
    pub service: &'a str,
}

/// The limits of a config on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitFields {
    /// The maximum size of the headers of a request together, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for LimitFields {
    fn default() -> Self {
        Self { max_header_bytes: 16_384, max_body_bytes: 65_536 }
    }
}

/// Returns a config with the routes of one host. `services` has the name of each service, and
/// whether its targets hold keys.
pub fn config_document(
    version: u32,
    host: &str,
    services: &[(&str, bool)],
    routes: &[RouteFields<'_>],
    limits: LimitFields,
) -> Value {
    let services: Vec<Value> = services
        .iter()
        .map(|(name, holds_keys)| {
            json!({
                "name": name, "maxConnections": 100, "sharded": holds_keys, "healthPath": "/health",
            })
        })
        .collect();
    let paths: Vec<Value> = routes.iter().map(route).collect();
    json!({
        "version": format!("{version:08x}"),
        "services": services,
        "limits": {
            "maxHeaderBytes": limits.max_header_bytes, "maxBodyBytes": limits.max_body_bytes,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "virtualHosts": [{ "host": host, "paths": paths }],
    })
}

fn route(fields: &RouteFields<'_>) -> Value {
    json!({
        "name": fields.prefix, "pathPrefix": fields.prefix,
        "kind": if fields.is_idempotent { "safe" } else { "unsafe" },
        "timeoutMs": 2_000, "targetLatencyMs": 900, "priority": 1, "maxAttempts": 2,
        "service": fields.service,
    })
}
