//! Evidence that a hold has ended.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a node took as proof that a target no longer holds keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Evidence {
    Released,
    NeverHeld,
    RowValidity,
    ConnectionsClosed,
    AnotherIdentified,
    LeasesExpired,
    GrantsExpired,
    EarlierProcessLeasesExpired,
    ReportedByPeer,
    /// A word of another release.
    #[serde(untagged)]
    Other(String),
}

impl Evidence {
    /// Whether it only says that leases have expired.
    pub(crate) fn is_expiry(&self) -> bool {
        match self {
            Self::RowValidity
            | Self::LeasesExpired
            | Self::GrantsExpired
            | Self::EarlierProcessLeasesExpired => true,
            Self::Released
            | Self::NeverHeld
            | Self::ConnectionsClosed
            | Self::AnotherIdentified
            | Self::ReportedByPeer
            | Self::Other(_) => false,
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Released => "released",
            Self::NeverHeld => "never-held",
            Self::RowValidity => "row-validity",
            Self::ConnectionsClosed => "connections-closed",
            Self::AnotherIdentified => "another-identified",
            Self::LeasesExpired => "leases-expired",
            Self::GrantsExpired => "grants-expired",
            Self::EarlierProcessLeasesExpired => "earlier-process-leases-expired",
            Self::ReportedByPeer => "reported-by-peer",
            Self::Other(word) => word,
        })
    }
}
