//! A request that was at work at a target when its connection broke.

use std::sync::Arc;

use galenastream_utils::BootInstant;

use crate::{CrashId, RequestFingerprint};

/// A request that was at work at a target when its connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The crash that the target has had if it has ended.
    pub crash: CrashId,
    /// Whether the request was already suspected when it was sent to the target.
    pub was_suspected: bool,
    /// Method, host and path for operators.
    pub description: Arc<str>,
    /// When the connection broke.
    pub lost_at: BootInstant,
}
