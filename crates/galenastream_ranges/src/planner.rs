//! Which target is to own which keys.
//!
//! Load pattern: a few neighbouring keys take a third of a service's requests, other keys become
//! busy after a while, targets differ in speed, and targets come and go.

use crate::{Assignment, Holding, KEY_COUNT, KeyRange, Owner};

/// Entries that a target may own; the reply to its heartbeat lists them and is bounded by 4 KiB.
const MAX_ENTRIES_PER_TARGET: usize = 48;

/// Keys whose load is unknown are dealt out in pieces of this many.
const UNKNOWN_PIECE_KEYS: u32 = 512;

/// The share of a service's load that is spread evenly over all keys, so that keys without
/// measured load count too.
const EVEN_SHARE: f64 = 0.1;

/// Measured load of keys, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeyLoad {
    /// The keys.
    pub range: KeyRange,
    /// Their requests a second.
    pub per_s: f64,
}

/// A target that may own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// The target.
    pub owner: Owner,
    /// Requests a second that it can process.
    pub capacity_per_s: f64,
    /// Whether it may be given keys. One that is about to leave gives all of them away.
    pub is_eligible: bool,
    /// The load of its keys, in pieces.
    pub loads: Vec<KeyLoad>,
}

/// Keys that are to change their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// The keys.
    pub range: KeyRange,
    /// Their next owner.
    pub to: Owner,
}

/// When keys move for the sake of balance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Busiest over mean utilisation above which keys move. Below it a move costs more than it wins.
    pub imbalance_ratio: f64,
    /// Utilisation of the busiest target below which nothing waits, so that nothing needs to move.
    pub busy_utilisation: f64,
    /// Ranges that one round moves, so that the next one sees what they changed.
    pub moves_per_round: usize,
}

/// Decides which target is to own which keys.
#[derive(Debug, Clone, Copy)]
pub struct Planner {
    terms: PlannerSettings,
}

/// One in this many of a service's targets: how many ranges a round moves at least. A large service has
/// more hot keys at once than a small one.
const TARGETS_PER_MOVE: usize = 4;

/// A piece of keys, its load and who has it, or is about to, among the targets.
#[derive(Debug, Clone, Copy)]
struct Piece {
    range: KeyRange,
    weight: f64,
    target: Option<usize>,
    /// Whether its owner is about to change already.
    is_moving: bool,
}

impl Planner {
    /// Creates a planner.
    pub const fn new(terms: PlannerSettings) -> Self {
        Self { terms }
    }

    /// Decides who gets the keys that are free, or whose owner is about to leave.
    pub fn place_orphaned_keys(
        &self,
        assignment: &Assignment,
        targets: &[TargetLoad],
    ) -> Vec<PlannedMove> {
        let pieces = cut_pieces(assignment, targets);
        let mut usage = Usage::new(&pieces, targets);
        if !usage.has_takers() {
            return Vec::new();
        }
        let mut moves = Vec::new();
        for piece in &pieces {
            let stays = piece.target.is_some_and(|it| targets[it].is_eligible);
            let is_held_elsewhere = piece.target.is_none() && !is_free(assignment, piece.range);
            if stays || is_held_elsewhere || piece.is_moving {
                continue;
            }
            let Some(taker) = usage.next_taker(piece.weight) else {
                break;
            };
            usage.add(taker, piece.weight);
            push_move(&mut moves, piece.range, &targets[taker].owner);
        }
        moves
    }

    /// Decides which keys move from busy targets to idle ones.
    pub fn balance(&self, assignment: &Assignment, targets: &[TargetLoad]) -> Vec<PlannedMove> {
        let mut pieces = cut_pieces(assignment, targets);
        let mut usage = Usage::new(&pieces, targets);
        let mut moves = Vec::new();
        for _ in 0..self.moves_per_round(targets.len()) {
            let Some((from, to)) = usage.widest_pair() else {
                break;
            };
            let newcomer = !pieces.iter().any(|it| it.target == Some(to));
            if !newcomer && !usage.is_unbalanced(from, self.terms) {
                break;
            }
            let Some(chosen) = choose_run(&pieces, from, usage.excess(from, to)) else {
                break;
            };
            let weight: f64 = pieces[chosen.clone()].iter().map(|it| it.weight).sum();
            let range = KeyRange {
                first: pieces[chosen.start].range.first,
                last: pieces[chosen.end - 1].range.last,
            };
            let entries = assignment.owned_by(&targets[to].owner.target).count();
            if entries + moves.len() >= MAX_ENTRIES_PER_TARGET {
                break;
            }
            usage.add(from, -weight);
            usage.add(to, weight);
            for piece in &mut pieces[chosen] {
                piece.target = Some(to);
            }
            push_move(&mut moves, range, &targets[to].owner);
        }
        moves
    }
}

impl Planner {
    fn moves_per_round(&self, target_count: usize) -> usize {
        match self.terms.moves_per_round {
            0 => 0,
            moves => moves.max(target_count / TARGETS_PER_MOVE),
        }
    }
}

/// The utilisation of each target.
struct Usage<'a> {
    targets: &'a [TargetLoad],
    weights: Vec<f64>,
    total: f64,
    capacity: f64,
}

impl<'a> Usage<'a> {
    fn new(pieces: &[Piece], targets: &'a [TargetLoad]) -> Self {
        let mut weights = vec![0.0; targets.len()];
        let mut total = 0.0;
        for piece in pieces {
            total += piece.weight;
            if let Some(target) = piece.target {
                weights[target] += piece.weight;
            }
        }
        let takers = targets.iter().filter(|it| it.is_eligible);
        let capacity = takers.map(|it| it.capacity_per_s).sum();
        Self { targets, weights, total, capacity }
    }

    fn has_takers(&self) -> bool {
        self.capacity > 0.0
    }

    fn add(&mut self, target: usize, weight: f64) {
        self.weights[target] += weight;
    }

    fn utilisation(&self, target: usize) -> f64 {
        self.weights[target] / self.targets[target].capacity_per_s.max(f64::MIN_POSITIVE)
    }

    /// The fair share of a target.
    fn fair(&self, target: usize) -> f64 {
        self.total * self.targets[target].capacity_per_s / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// The first target that a piece still fits into, so that neighbouring keys stay together;
    /// otherwise the one with the lowest utilisation.
    fn next_taker(&self, weight: f64) -> Option<usize> {
        let takers = || (0..self.targets.len()).filter(|&it| self.targets[it].is_eligible);
        let fits = |&it: &usize| self.weights[it] + weight / 2.0 <= self.fair(it);
        takers().find(fits).or_else(|| {
            takers().min_by(|&a, &b| self.utilisation(a).total_cmp(&self.utilisation(b)))
        })
    }

    fn widest_pair(&self) -> Option<(usize, usize)> {
        let takers = || (0..self.targets.len()).filter(|&it| self.targets[it].is_eligible);
        let by_utilisation =
            |a: &usize, b: &usize| self.utilisation(*a).total_cmp(&self.utilisation(*b));
        let from = takers().max_by(by_utilisation)?;
        let to = takers().min_by(by_utilisation)?;
        (from != to).then_some((from, to))
    }

    fn is_unbalanced(&self, from: usize, terms: PlannerSettings) -> bool {
        let mean = self.total / self.capacity.max(f64::MIN_POSITIVE);
        let utilisation = self.utilisation(from);
        utilisation > terms.busy_utilisation && utilisation > mean * terms.imbalance_ratio
    }

    /// The load that is to move from one target to another.
    fn excess(&self, from: usize, to: usize) -> f64 {
        let surplus = self.weights[from] - self.fair(from);
        let room = self.fair(to) - self.weights[to];
        surplus.min(room).max(0.0)
    }
}

/// Cuts all keys into pieces of one owner each, no larger than what is measured of them.
fn cut_pieces(assignment: &Assignment, targets: &[TargetLoad]) -> Vec<Piece> {
    let measured: f64 = targets.iter().flat_map(|it| &it.loads).map(|it| it.per_s).sum();
    let even_per_key = (measured * EVEN_SHARE).max(1.0) / f64::from(KEY_COUNT);
    let mut pieces = Vec::new();
    for entry in assignment.entries() {
        let index_of = |owner: &Owner| targets.iter().position(|it| it.owner == *owner);
        let (measured_by, target) = match &entry.holding {
            Holding::Owned(owner) => (index_of(owner), index_of(owner)),
            Holding::Leaving { from, to } => (index_of(from), to.as_ref().and_then(index_of)),
            Holding::Free => (None, None),
        };
        let is_moving = entry.holding.leaving_owner().is_some();
        let loads = measured_by.map_or(&[][..], |it| &targets[it].loads);
        let mut next_key = u32::from(entry.range.first);
        for load in loads {
            let Some(range) = load.range.overlap(entry.range) else {
                continue;
            };
            let before = Piece { range: entry.range, weight: even_per_key, target, is_moving };
            push_even(&mut pieces, next_key, u32::from(range.first), before);
            let share = f64::from(range.len()) / f64::from(load.range.len());
            let weight = load.per_s * share + even_per_key * f64::from(range.len());
            pieces.push(Piece { range, weight, target, is_moving });
            next_key = u32::from(range.last) + 1;
        }
        let end = u32::from(entry.range.last) + 1;
        let rest = Piece { range: entry.range, weight: even_per_key, target, is_moving };
        push_even(&mut pieces, next_key, end, rest);
    }
    pieces
}

/// Adds keys from `first` up to `end` of which nothing is measured. `like` has the weight of one key.
fn push_even(pieces: &mut Vec<Piece>, first: u32, end: u32, like: Piece) {
    let mut first = first;
    while first < end {
        let last = (first + UNKNOWN_PIECE_KEYS).min(end) - 1;
        let (Ok(first_key), Ok(last_key)) = (u16::try_from(first), u16::try_from(last)) else {
            return;
        };
        let range = KeyRange { first: first_key, last: last_key };
        pieces.push(Piece { range, weight: like.weight * f64::from(range.len()), ..like });
        first = last + 1;
    }
}

/// The run of neighbouring pieces of a target that carries the wanted load on the fewest keys.
fn choose_run(pieces: &[Piece], from: usize, wanted: f64) -> Option<std::ops::Range<usize>> {
    let mut best: Option<(f64, std::ops::Range<usize>)> = None;
    let mut start = 0;
    let mut sum = 0.0;
    for end in 0..pieces.len() {
        if pieces[end].target != Some(from) || pieces[end].is_moving {
            start = end + 1;
            sum = 0.0;
            continue;
        }
        sum += pieces[end].weight;
        while sum > wanted && start <= end {
            sum -= pieces[start].weight;
            start += 1;
        }
        if start > end {
            sum = 0.0;
            continue;
        }
        let keys: u32 = pieces[start..=end].iter().map(|it| it.range.len()).sum();
        // The load counts twice: half the wanted load on a tenth of the keys is not what helps.
        let value = sum * sum / f64::from(keys).sqrt();
        if best.as_ref().is_none_or(|(it, _)| value > *it) {
            best = Some((value, start..end + 1));
        }
    }
    best.map(|(_, run)| run)
}

fn is_free(assignment: &Assignment, range: KeyRange) -> bool {
    assignment.entry_of(range.first).holding == Holding::Free
}

/// Adds a move, as part of the last one if it goes to the same owner right behind it.
fn push_move(moves: &mut Vec<PlannedMove>, range: KeyRange, to: &Owner) {
    if let Some(last) = moves.last_mut()
        && last.to == *to
        && u32::from(last.range.last) + 1 == u32::from(range.first)
    {
        last.range.last = range.last;
        return;
    }
    moves.push(PlannedMove { range, to: to.clone() });
}
