//! What lives as long as a version of the config.

mod routing_table;

pub use routing_table::{RouteMatch, RoutingTable};
