//! Encoding of an assignment as a row of the store.

use std::time::Duration;

use prost::Message;

use crate::{
    Assignment, Holding, KEY_COUNT, KeyRange, LeaseTerms, Owner, RangeEntry, RowError,
    TargetIncarnation, TermsStatement,
};

/// The highest fencing token in a row. A correct writer does not come near it, and each change needs
/// a higher token.
const MAX_FENCE: u64 = u64::MAX / 2;

/// The longest limit of leases in a row. Sums of longer ones could overflow.
const MAX_TERM_MS: u64 = 24 * 3_600 * 1_000;

#[derive(Clone, PartialEq, Message)]
struct AssignmentRow {
    #[prost(message, repeated, tag = "1")]
    owners: Vec<OwnerRecord>,
    #[prost(message, repeated, tag = "2")]
    entries: Vec<EntryRecord>,
    #[prost(uint64, tag = "3")]
    highest_fence: u64,
    /// The limits of leases on this row; 0 if not stated.
    #[prost(uint64, tag = "4")]
    row_validity_ms: u64,
    #[prost(uint64, tag = "5")]
    max_lease_ms: u64,
    /// The version that the first statement of the limits was planned on; 0 if not recorded.
    #[prost(uint64, tag = "6")]
    terms_since: u64,
    /// Whether leases on all earlier rows keep the limits too.
    #[prost(bool, tag = "7")]
    terms_cover_all_rows: bool,
}

#[derive(Clone, PartialEq, Message)]
struct OwnerRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    born_ms: u64,
    #[prost(string, tag = "3")]
    node: String,
}

/// An entry that covers the keys after the previous entry up to and including `last`.
///
/// `owner` and `leaver` are one-based indexes into the owners of the row; 0 stands for none. In a
/// leaving entry, `leaver` is the owner and `owner` the next one.
#[derive(Clone, PartialEq, Message)]
struct EntryRecord {
    #[prost(uint32, tag = "1")]
    last: u32,
    #[prost(uint32, tag = "2")]
    owner: u32,
    #[prost(uint32, tag = "3")]
    leaver: u32,
    #[prost(uint64, tag = "4")]
    fence: u64,
    #[prost(string, tag = "5")]
    handover: String,
    /// Of a leaving entry: the version of the row that the beginning of the move was planned on.
    #[prost(uint64, tag = "6")]
    departure: u64,
}

impl Assignment {
    /// Encodes the assignment as a row.
    pub fn encode_row(&self) -> Vec<u8> {
        let mut owners: Vec<&Owner> = Vec::new();
        let mut entries = Vec::with_capacity(self.entries().len());
        for entry in self.entries() {
            let (owner, leaver, departure) = match &entry.holding {
                Holding::Free => (None, None, 0),
                Holding::Owned(owner) => (Some(owner), None, 0),
                Holding::Leaving { from, to, departure } => (to.as_ref(), Some(from), *departure),
            };
            entries.push(EntryRecord {
                last: u32::from(entry.range.last),
                owner: intern(&mut owners, owner),
                leaver: intern(&mut owners, leaver),
                fence: entry.fence,
                handover: entry.handover.clone(),
                departure,
            });
        }
        let owners = owners.into_iter().map(OwnerRecord::new).collect();
        let terms = self.terms();
        let (terms_since, terms_cover_all_rows) = match self.terms_statement() {
            TermsStatement::Unrecorded => (0, false),
            TermsStatement::Since(version) => (version, false),
            TermsStatement::AllRows => (0, true),
        };
        let row = AssignmentRow {
            owners,
            entries,
            highest_fence: self.highest_fence(),
            row_validity_ms: terms.map_or(0, |it| whole_millis(it.row_validity)),
            max_lease_ms: terms.map_or(0, |it| whole_millis(it.max_lease)),
            terms_since,
            terms_cover_all_rows,
        };
        row.encode_to_vec()
    }

    /// Decodes an assignment from a row.
    ///
    /// Fails if the bytes are malformed, the entries do not cover every key exactly once, an entry
    /// refers to an owner that is not listed, a fencing token is above the highest issued one, or the
    /// highest one leaves no room for further ones.
    pub fn decode_row(bytes: &[u8]) -> Result<Self, RowError> {
        let row = AssignmentRow::decode(bytes)
            .map_err(|it| RowError::Undecodable { reason: it.to_string() })?;
        if row.highest_fence > MAX_FENCE {
            return Err(RowError::NoFurtherFence { fence: row.highest_fence });
        }
        let owners: Vec<Owner> = row.owners.into_iter().map(OwnerRecord::into_owner).collect();
        let mut entries = Vec::with_capacity(row.entries.len());
        let mut next_key = 0_u32;
        for record in row.entries {
            let not_covered_once = || RowError::KeyNotCoveredOnce { key: next_key };
            let first = u16::try_from(next_key).map_err(|_| not_covered_once())?;
            let last = u16::try_from(record.last).map_err(|_| not_covered_once())?;
            let range = KeyRange::new(first, last).ok_or_else(not_covered_once)?;
            let owner = look_up(&owners, record.owner)?;
            let leaver = look_up(&owners, record.leaver)?;
            let holding = match (owner, leaver) {
                (None, None) => Holding::Free,
                (Some(owner), None) => Holding::Owned(owner),
                (to, Some(from)) => Holding::Leaving { from, to, departure: record.departure },
            };
            if record.fence > row.highest_fence {
                return Err(RowError::FenceAboveHighest { fence: record.fence });
            }
            entries.push(RangeEntry {
                range,
                holding,
                fence: record.fence,
                handover: record.handover,
            });
            next_key = record.last + 1;
        }
        if next_key != KEY_COUNT {
            return Err(RowError::KeyNotCoveredOnce { key: next_key });
        }
        let terms = (row.row_validity_ms > 0 && row.max_lease_ms > 0).then(|| {
            let row_validity = Duration::from_millis(row.row_validity_ms.min(MAX_TERM_MS));
            LeaseTerms::new(row_validity, Duration::from_millis(row.max_lease_ms.min(MAX_TERM_MS)))
        });
        let statement = match (row.terms_cover_all_rows, row.terms_since) {
            _ if terms.is_none() => TermsStatement::Unrecorded,
            (true, _) => TermsStatement::AllRows,
            (false, 0) => TermsStatement::Unrecorded,
            (false, version) => TermsStatement::Since(version),
        };
        Ok(Self::from_entries(entries, row.highest_fence, terms, statement))
    }
}

impl OwnerRecord {
    fn new(owner: &Owner) -> Self {
        Self {
            id: owner.target.id.to_string(),
            born_ms: owner.target.born_ms,
            node: owner.node.to_string(),
        }
    }

    fn into_owner(self) -> Owner {
        Owner::new(TargetIncarnation::new(self.id, self.born_ms), self.node)
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the one-based index of an owner, which is added if it is missing; 0 for `None`.
fn intern<'a>(owners: &mut Vec<&'a Owner>, owner: Option<&'a Owner>) -> u32 {
    let Some(owner) = owner else {
        return 0;
    };
    let index = owners.iter().position(|it| *it == owner).unwrap_or_else(|| {
        owners.push(owner);
        owners.len() - 1
    });
    u32::try_from(index + 1).unwrap_or(0)
}

/// Returns the owner with a one-based index; `None` for 0.
fn look_up(owners: &[Owner], one_based_index: u32) -> Result<Option<Owner>, RowError> {
    let Some(index) = one_based_index.checked_sub(1) else {
        return Ok(None);
    };
    match owners.get(index as usize) {
        Some(owner) => Ok(Some(owner.clone())),
        None => Err(RowError::UnknownOwner { index }),
    }
}
