//! Items that live as long as one version of the config.

mod routing_table;

pub use routing_table::{RouteMatch, RoutingTable};
