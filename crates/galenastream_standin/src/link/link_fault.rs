//! Faults of a link.

use std::time::Duration;

/// A fault of all connections through a proxy, in effect until another one is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// All bytes pass.
    #[default]
    None,
    /// Each chunk of bytes passes after this delay.
    Delayed(Duration),
    /// Open connections and new ones are reset.
    Reset,
    /// Bytes to the server pass after the end of the fault only.
    CutToServer,
    /// Bytes to the client pass after the end of the fault only.
    CutToClient,
    /// No byte passes before the end of the fault.
    Silent,
    /// The proxy answers requests in place of the server, with a head that never ends.
    EndlessHead,
    /// The proxy answers requests in place of the server, with a body that never ends.
    EndlessBody,
}

impl LinkFault {
    pub(super) fn holds_back(self, is_to_server: bool) -> bool {
        match self {
            Self::CutToServer => is_to_server,
            Self::CutToClient => !is_to_server,
            Self::Silent => true,
            Self::None | Self::Delayed(_) | Self::Reset | Self::EndlessHead | Self::EndlessBody => {
                false
            }
        }
    }

    pub(super) fn is_endless(self) -> bool {
        matches!(self, Self::EndlessHead | Self::EndlessBody)
    }
}
