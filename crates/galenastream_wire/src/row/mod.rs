//! Rows that all nodes share in the platform's store.

mod fleet_row;

pub use fleet_row::{FLEET_TABLE, FleetRow, NodeRow};
