//! The question for a version of the settings.

use prost::Message;

/// Asks for a version of the settings.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SettingsQuery {
    /// The lowest version that is of use.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A version of the settings.
#[derive(Clone, PartialEq, Message)]
pub struct SettingsReply {
    /// The version; zero if the sender has none that is high enough.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The tree, as TOML.
    #[prost(string, tag = "2")]
    pub toml: String,
}
