//! Notices that the row of a cell without witnesses is no longer renewed.

use crate::{
    BootInstant, RowVersion,
    process::{Context, ms},
};

/// Notices that the row of a cell without witnesses is no longer renewed.
#[derive(Debug, Default)]
pub(crate) struct RowWatch {
    seen: Option<(RowVersion, BootInstant)>,
}

impl RowWatch {
    /// Takes a row that was received now. Returns whether its coordinator's store term is over.
    pub(crate) fn observe(
        &mut self,
        context: &Context,
        now: BootInstant,
        version: RowVersion,
    ) -> bool {
        match self.seen {
            Some((seen, since)) if seen == version => {
                now > since + context.stretched(ms(context.timing.store_term_ms))
            }
            _ => {
                self.seen = Some((version, now));
                false
            }
        }
    }
}
