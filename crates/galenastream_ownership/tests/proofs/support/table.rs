//! A fake of the table service with one row, and the checks of what is written to it.

use galenastream_ownership::{
    CellRow, Epoch, FastMap, FastSet, KeyHash, Member, RowVersion, SliceId, StoreOperation,
    StoreReply, StoredRow,
};

/// An assignment as it was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    pub owner: Option<Member>,
    pub first: KeyHash,
    pub last: KeyHash,
}

#[derive(Debug, Default)]
pub struct Table {
    pub row: Option<StoredRow>,
    /// Every assignment that was ever committed.
    pub assignments: FastMap<(SliceId, Epoch), Assignment>,
    pub writes: u64,
}

impl Table {
    /// Lets an operation take effect. An error tells what is wrong with the new row.
    pub fn apply(&mut self, operation: StoreOperation) -> Result<StoreReply, String> {
        let (expected, write, row) = match operation {
            StoreOperation::Read { .. } => return Ok(StoreReply::Row(self.row.clone())),
            StoreOperation::Write { expected, write, row } => (expected, write, row),
        };
        let current = self.row.as_ref().map(|it| it.version);
        if current != expected {
            return Ok(StoreReply::Conflict);
        }
        check_cover(&row)?;
        if let Some(before) = &self.row {
            check_change(&before.row, &row)?;
        }
        self.record_assignments(&row)?;
        let version = RowVersion(current.map_or(1, |it| it.0 + 1));
        self.row = Some(StoredRow { version, write, row });
        self.writes += 1;
        Ok(StoreReply::Written(version))
    }

    fn record_assignments(&mut self, row: &CellRow) -> Result<(), String> {
        for (index, slice) in row.slices.iter().enumerate() {
            let last = row.last_position(index);
            let assignment = Assignment { owner: slice.owner, first: slice.first, last };
            let before = self.assignments.insert((slice.id, slice.epoch), assignment);
            if before.is_some_and(|it| it != assignment) {
                return Err(format!("{slice:?} was {before:?} in the same epoch"));
            }
        }
        Ok(())
    }
}

fn check_cover(row: &CellRow) -> Result<(), String> {
    let ids: FastSet<SliceId> = row.slices.iter().map(|it| it.id).collect();
    if ids.len() != row.slices.len() {
        return Err("slice ids repeat".to_owned());
    }
    if row.slices.first().is_some_and(|it| it.first != KeyHash::MIN) {
        return Err("the slices do not begin at the lowest position".to_owned());
    }
    if row.slices.windows(2).any(|pair| pair[0].first >= pair[1].first) {
        return Err("the slices do not rise".to_owned());
    }
    if row.slices.iter().any(|it| it.id >= row.next_slice) {
        return Err("a slice id is to be given again".to_owned());
    }
    Ok(())
}

fn check_change(before: &CellRow, after: &CellRow) -> Result<(), String> {
    if after.term < before.term {
        return Err(format!("term fell from {:?} to {:?}", before.term, after.term));
    }
    if after.term == before.term && after.coordinator != before.coordinator {
        return Err(format!("two coordinators in {:?}", after.term));
    }
    if after.next_slice < before.next_slice {
        return Err("the next slice id fell".to_owned());
    }
    if after.witnesses.generation < before.witnesses.generation {
        return Err("the generation of the witnesses fell".to_owned());
    }
    let same_generation = after.witnesses.generation == before.witnesses.generation;
    if same_generation && after.witnesses != before.witnesses {
        return Err("two sets of witnesses in one generation".to_owned());
    }
    for (index, slice) in before.slices.iter().enumerate() {
        let last = before.last_position(index);
        let heirs =
            after.slices.iter().enumerate().filter(|(index, it)| {
                it.first <= last && after.last_position(*index) >= slice.first
            });
        for (_, heir) in heirs {
            let unchanged = heir.id == slice.id && heir.owner == slice.owner;
            if heir.epoch < slice.epoch || (heir.epoch == slice.epoch && !unchanged) {
                return Err(format!("{slice:?} became {heir:?} without a higher epoch"));
            }
        }
    }
    Ok(())
}
