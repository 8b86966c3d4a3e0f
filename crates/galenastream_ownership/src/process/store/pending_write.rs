//! A write whose effect is not known yet.

use crate::{BootInstant, CellRow, RowVersion, StoreRequestId, StoredRow, WriteId};

/// A write whose effect is not known yet. It may take effect until a row rules it out.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    pub(crate) write: WriteId,
    pub(crate) expected: Option<RowVersion>,
    pub(crate) row: CellRow,
    /// When the write was first sent; it may have taken effect at any time since.
    pub(crate) sent_at: BootInstant,
    /// The attempts that were not answered yet, or whose answer said nothing.
    pub(crate) attempts: Vec<StoreRequestId>,
    /// Whether an attempt got no answer, so that it may have taken effect or will.
    pub(crate) is_unsettled: bool,
}

/// What a row says about a pending write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Settlement {
    /// It took effect.
    Committed,
    /// It can no longer take effect.
    RuledOut,
    /// It may still take effect.
    Open,
}

impl PendingWrite {
    /// What a row that was read says about the write.
    pub(crate) fn settled_by(&self, stored: Option<&StoredRow>) -> Settlement {
        let Some(stored) = stored else {
            return Settlement::Open;
        };
        if stored.write == self.write {
            return Settlement::Committed;
        }
        if self.expected.is_none_or(|it| stored.version > it) {
            return Settlement::RuledOut;
        }
        Settlement::Open
    }
}
