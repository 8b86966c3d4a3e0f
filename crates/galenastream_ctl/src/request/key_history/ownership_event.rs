//! Log events about the ownership of keys.

use galenastream_ranges::KeyRange;
use serde::{Deserialize, Deserializer, Serialize, de::Error};

use super::Evidence;

/// Log event about the ownership of keys, with the fields that the history uses.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum OwnershipEvent {
    ProcessStarted {
        node: String,
    },
    LeasesGranted {
        #[serde(flatten)]
        reply: LeaseReply,
        #[serde(deserialize_with = "grants_from_text")]
        grants: Vec<Grant>,
    },
    LeasesRenewed(LeaseReply),
    LeaseWithheld {
        reason: String,
    },
    /// The end of a call to a target that granted keys or took them back.
    LeaseCallEnded {
        kind: LeaseCallKind,
        #[serde(flatten)]
        reply: LeaseReply,
        #[serde(deserialize_with = "range_from_text")]
        range: KeyRange,
        fence: u64,
        outcome: String,
        elapsed_ms: u64,
    },
    KeysLeave {
        service: String,
        #[serde(deserialize_with = "range_from_text")]
        range: KeyRange,
        target: String,
        to: String,
        row_version: u64,
        reason: String,
    },
    MoveCancelled {
        service: String,
        target: String,
        row_version: u64,
    },
    HoldEnded {
        service: String,
        #[serde(deserialize_with = "range_from_text")]
        range: KeyRange,
        target: String,
        row_version: u64,
        evidence: Evidence,
        evidence_age_ms: u64,
        /// The node that reported the end, if it is another one.
        node: Option<String>,
    },
    KeysAssigned {
        service: String,
        #[serde(deserialize_with = "range_from_text")]
        range: KeyRange,
        target: String,
        node: String,
        fence: u64,
        row_version: u64,
    },
    AssignmentWritten {
        service: String,
        row_version: u64,
        based_on: u64,
    },
    ForeignHold {
        service: String,
        #[serde(deserialize_with = "range_from_text")]
        range: KeyRange,
        target: String,
        fence: u64,
        holder: String,
        row_version: u64,
    },
    /// A `leases_granted` that could not be decoded.
    #[serde(skip)]
    UnreadableGrants,
    #[serde(other)]
    Other,
}

/// Fields that all replies with leases have, and all calls about them.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseReply {
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) row_version: u64,
    pub(crate) confirmed_age_ms: u64,
    pub(crate) lease_ms: u64,
}

/// What a call to a target orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum LeaseCallKind {
    Grant,
    Release,
}

/// Keys that a reply grants.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    pub(crate) range: KeyRange,
    pub(crate) fence: u64,
}

impl OwnershipEvent {
    /// Whether the event matters for the history of a key.
    pub(crate) fn concerns(&self, wanted: &str, key: u16) -> bool {
        match self {
            Self::ProcessStarted { .. } | Self::LeaseWithheld { .. } | Self::UnreadableGrants => {
                true
            }
            // Replies without the key show that it was revoked.
            Self::LeasesGranted { reply, .. } | Self::LeasesRenewed(reply) => {
                reply.service == wanted
            }
            Self::MoveCancelled { service, .. } | Self::AssignmentWritten { service, .. } => {
                service == wanted
            }
            Self::LeaseCallEnded { reply, range, .. } => {
                reply.service == wanted && range.contains(key)
            }
            Self::KeysLeave { service, range, .. }
            | Self::HoldEnded { service, range, .. }
            | Self::KeysAssigned { service, range, .. }
            | Self::ForeignHold { service, range, .. } => service == wanted && range.contains(key),
            Self::Other => false,
        }
    }
}

fn range_from_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<KeyRange, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_range(&text).ok_or_else(|| D::Error::custom(format!("{text:?} is not a key range")))
}

fn grants_from_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Grant>, D::Error> {
    let text = String::deserialize(deserializer)?;
    let mut grants = Vec::new();
    for word in text.split_whitespace() {
        let grant = parse_grant(word);
        grants.push(grant.ok_or_else(|| D::Error::custom(format!("{word:?} is not a grant")))?);
    }
    Ok(grants)
}

fn parse_grant(word: &str) -> Option<Grant> {
    let (range, fence) = word.split_once('#')?;
    Some(Grant { range: parse_range(range)?, fence: fence.parse().ok()? })
}

fn parse_range(text: &str) -> Option<KeyRange> {
    let (first, last) = text.split_once('-')?;
    KeyRange::new(first.parse().ok()?, last.parse().ok()?)
}
