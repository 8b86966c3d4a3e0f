//! A router for servers that hold keys exclusively.
//!
//! This package re-exports the parts that others may embed. The programs are in
//! `galenastream_node` (`galenastreamd`) and `galenastream_ctl` (`galenastreamctl`).

pub use galenastream_ownership as ownership;
pub use galenastream_platform as platform;
pub use galenastream_routing as routing;
pub use galenastream_settings as settings;
pub use galenastream_wire as wire;

/// The types that most programs need.
pub mod prelude {
    pub use galenastream_ownership::prelude::*;
}
