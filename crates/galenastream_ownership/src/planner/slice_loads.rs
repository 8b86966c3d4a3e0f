//! Smoothed loads of slices.

use crate::{
    BootInstant, CellRow, Epoch, FastMap, FastSet, HotKey, KeyHash, Member, SliceId, SliceLoad,
};

/// A slice of the row with its load.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadedSlice {
    pub(super) id: SliceId,
    pub(super) epoch: Epoch,
    pub(super) first: KeyHash,
    pub(super) last: KeyHash,
    pub(super) owner: Option<Member>,
    /// Measured load, and a little for its width.
    pub(super) busy_millislots: f64,
    pub(super) measured_millislots: f64,
    pub(super) hottest: Option<HotKey>,
}

impl LoadedSlice {
    /// Share of the hash space.
    pub(super) fn width(&self) -> f64 {
        width(self.first, self.last)
    }
}

/// The smoothed loads of the slices of one cell.
#[derive(Debug, Default)]
pub(super) struct SliceLoads {
    loads: FastMap<SliceId, SmoothedLoad>,
    /// The slices of the last row, for the heirs of those that were split or merged.
    layout: Vec<(KeyHash, KeyHash, SliceId)>,
}

#[derive(Debug, Clone, Copy)]
struct SmoothedLoad {
    busy_millislots: f64,
    hottest: Option<HotKey>,
    reported_at: BootInstant,
}

impl SliceLoads {
    /// Takes a report of a slice's owner into account.
    pub(super) fn record(&mut self, now: BootInstant, report: &SliceLoad, smoothing_ms: u32) {
        let measured = f64::from(report.busy_millislots);
        let Some(load) = self.loads.get_mut(&report.slice) else {
            let load = SmoothedLoad {
                busy_millislots: measured,
                hottest: report.hottest,
                reported_at: now,
            };
            self.loads.insert(report.slice, load);
            return;
        };
        let elapsed_s = now.saturating_since(load.reported_at).as_secs_f64();
        let weight = elapsed_s / (elapsed_s + f64::from(smoothing_ms) / 1_000.0);
        load.busy_millislots += weight * (measured - load.busy_millislots);
        load.hottest = report.hottest;
        load.reported_at = now;
    }

    /// The slices of a row with their loads. New slices inherit from those that they come from.
    pub(super) fn of_row(&mut self, now: BootInstant, row: &CellRow) -> Vec<LoadedSlice> {
        let mut slices = Vec::with_capacity(row.slices.len());
        for (index, slice) in row.slices.iter().enumerate() {
            let last = row.last_position(index);
            let load = match self.loads.get(&slice.id) {
                Some(load) => *load,
                None => self.inherit(now, slice.first, last),
            };
            slices.push(LoadedSlice {
                id: slice.id,
                epoch: slice.epoch,
                first: slice.first,
                last,
                owner: slice.owner,
                busy_millislots: load.busy_millislots,
                measured_millislots: load.busy_millislots,
                hottest: load.hottest,
            });
            self.loads.insert(slice.id, load);
        }
        let live: FastSet<SliceId> = slices.iter().map(|it| it.id).collect();
        self.loads.retain(|id, _| live.contains(id));
        self.layout = slices.iter().map(|it| (it.first, it.last, it.id)).collect();
        slices
    }

    fn inherit(&self, now: BootInstant, first: KeyHash, last: KeyHash) -> SmoothedLoad {
        let mut heir = SmoothedLoad { busy_millislots: 0.0, hottest: None, reported_at: now };
        let begin = self.layout.partition_point(|it| it.1 < first);
        for &(parent_first, parent_last, id) in &self.layout[begin..] {
            if parent_first > last {
                break;
            }
            let Some(parent) = self.loads.get(&id) else { continue };
            let overlap = width(first.max(parent_first), last.min(parent_last));
            let by_width = overlap / width(parent_first, parent_last);
            let Some(hot) = parent.hottest else {
                heir.busy_millislots += parent.busy_millislots * by_width;
                continue;
            };
            let hot_share = f64::from(hot.share_percent) / 100.0;
            heir.busy_millislots += parent.busy_millislots * (1.0 - hot_share) * by_width;
            if first <= hot.hash && hot.hash <= last {
                heir.busy_millislots += parent.busy_millislots * hot_share;
                heir.hottest = Some(hot);
            }
        }
        heir
    }
}

/// Share of the hash space between two positions, both included.
pub(super) fn width(first: KeyHash, last: KeyHash) -> f64 {
    ((last.0 - first.0) as f64 + 1.0) / (u64::MAX as f64)
}
