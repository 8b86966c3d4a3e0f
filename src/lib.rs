//! A router for servers that hold keys exclusively.
//!
//! This package re-exports the crates that other programs can embed without the daemon. The
//! programs are in `galenastream_node` (`galenastreamd`) and `galenastream_ctl`
//! (`galenastreamctl`).

pub use galenastream_ranges as ranges;
pub use galenastream_routing as routing;
pub use galenastream_settings as settings;
pub use galenastream_utils as utils;
pub use galenastream_wire as wire;

/// The types that most programs use.
pub mod prelude {
    pub use galenastream_ranges::prelude::*;
    pub use galenastream_routing::prelude::*;
    pub use galenastream_utils::{BootInstant, FastMap};
}
