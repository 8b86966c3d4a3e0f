//! Items that live as long as one version of the config.

mod config_doubt;
mod published_doubt;
mod routing_table;

pub use config_doubt::ConfigDoubt;
pub use published_doubt::PublishedDoubt;
pub use routing_table::{RouteMatch, RoutingTable};
