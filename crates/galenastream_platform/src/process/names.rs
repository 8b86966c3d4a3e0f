//! Names of the tables and the bucket that the system uses.

/// The table with one row for each cell.
pub const CELL_TABLE: &str = "galenastream-cells";

/// The table with the row that points at the settings in force.
pub const SETTINGS_TABLE: &str = "galenastream-settings";

/// The bucket with one object for each version of the settings.
pub const SETTINGS_BUCKET: &str = "galenastream";
