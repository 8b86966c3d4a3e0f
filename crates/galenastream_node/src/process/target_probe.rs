//! What a probe of the address of the local target has shown.

use galenastream_ranges::TargetIncarnation;
use galenastream_utils::BootInstant;

/// What a probe of the address of the local target has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetProbe {
    /// The incarnation that was the local target when the probe began.
    pub target: TargetIncarnation,
    /// When the probe began.
    pub began_at: BootInstant,
    /// What answered.
    pub answer: ProbeAnswer,
    /// Connections between this process and its target, in either direction, that were open after
    /// the answer. The end of a process closes all of its connections.
    pub open_connections: usize,
}

/// The answer to a probe of the address of the local target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProbeAnswer {
    /// Two connections in a row were refused: nothing listens at the address.
    Refused,
    /// A health check was answered with this target id.
    Identified {
        /// The id in the answer.
        target_id: String,
    },
}
