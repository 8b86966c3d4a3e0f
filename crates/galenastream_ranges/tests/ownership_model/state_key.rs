//! The key under which the exploration finds equal states.

use std::time::Duration;

use galenastream_ranges::{Holding, LeaseTerms};
use galenastream_utils::BootInstant;

use crate::{
    departure,
    model::Model,
    row::{FIRST, Row},
};

/// What distinguishes a state from others: ages up to the validity of a row, the order of versions
/// and the order of fencing tokens.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StateKey(Box<[u32]>);

impl StateKey {
    pub fn new(model: &Model, terms: &LeaseTerms) -> Self {
        let ranks = Ranks::new(model);
        let age = |at: BootInstant| {
            let age = model.now.saturating_since(at).min(terms.row_validity + STEP_BEYOND);
            age.as_millis() as u32
        };
        let node = &model.node;
        let mut key = Vec::with_capacity(48);
        ranks.push_row(&mut key, Some(&model.store));
        ranks.push_row(&mut key, model.late_write.as_deref());
        ranks.push_row(&mut key, node.known.as_deref());
        key.extend([
            node.confirmed_at.map_or(u32::MAX, age),
            age(node.started_at),
            u32::from(node.confirmed_at.is_some_and(|it| it >= node.started_at)),
            u32::from(node.has_released),
            model.target.until.saturating_since(model.now).as_millis() as u32,
            rank(&ranks.fences, model.target.fence),
            rank(&ranks.fences, model.other_fence),
        ]);
        let immediate = LeaseTerms::new(Duration::ZERO, Duration::ZERO);
        let mut planners = [Vec::with_capacity(8), Vec::with_capacity(8)];
        for (planner, key) in model.planners.iter().zip(&mut planners) {
            ranks.push_row(key, Some(&planner.known));
            let assignment = &planner.known.assignment;
            let leaving = departure::vacant(&planner.vacancy, assignment, &immediate, model.now);
            key.extend([
                age(planner.confirmed_at),
                u32::from(planner.confirmed_at >= node.started_at),
                leaving.map_or(u32::MAX, |(_, since)| age(since)),
            ]);
        }
        // The planners do not differ.
        planners.sort_unstable();
        key.extend(planners.concat());
        Self(key.into_boxed_slice())
    }
}

/// All versions and fencing tokens of a state.
struct Ranks {
    versions: Vec<u64>,
    fences: Vec<u64>,
}

impl Ranks {
    fn new(model: &Model) -> Self {
        let mut versions = vec![0];
        let mut fences = vec![0, model.target.fence, model.other_fence];
        let planners = model.planners.iter().map(|it| &*it.known);
        let rows = [Some(&*model.store), model.late_write.as_deref(), model.node.known.as_deref()];
        for row in rows.into_iter().flatten().chain(planners) {
            versions.extend([row.version, departure_of(row)]);
            fences.extend([row.entry().fence, row.assignment.highest_fence()]);
        }
        Self { versions, fences }
    }

    fn push_row(&self, key: &mut Vec<u32>, row: Option<&Row>) {
        let Some(row) = row else {
            key.push(u32::MAX);
            return;
        };
        key.extend([
            rank(&self.versions, row.version),
            rank(&self.versions, departure_of(row)),
            rank(&self.fences, row.entry().fence),
            rank(&self.fences, row.assignment.highest_fence()),
            holding_code(&row.entry().holding),
        ]);
    }
}

fn departure_of(row: &Row) -> u64 {
    departure::leaving(&row.entry().holding).map_or(0, |it| it.2)
}

/// Ages above the validity of a row by more than this are equal.
const STEP_BEYOND: Duration = Duration::from_millis(1);

/// The number of different smaller values, so that keys do not depend on how often values rose.
fn rank(values: &[u64], value: u64) -> u32 {
    let is_first_smaller =
        |index: usize| values[index] < value && !values[..index].contains(&values[index]);
    (0..values.len()).filter(|&index| is_first_smaller(index)).count() as u32
}

fn holding_code(holding: &Holding) -> u32 {
    if let Some((from, to, _)) = departure::leaving(holding) {
        let to = to.map_or(0, |it| if *it == *FIRST { 1 } else { 2 });
        return 10 + 3 * u32::from(*from == *FIRST) + to;
    }
    match holding.owner() {
        Some(owner) => 1 + u32::from(*owner == *FIRST),
        None => 0,
    }
}
