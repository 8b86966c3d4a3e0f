//! Planning of the owners of keys.
//!
//! Load pattern: a few neighbouring keys receive a third of a service's requests, other keys become
//! hot later, targets differ in speed, and targets join and leave. Some announce that they take next
//! to no requests, and later that this has ended.

use crate::{Assignment, Holding, KEY_COUNT, KeyRange, Owner, TargetIncarnation};

/// A target with this many entries gets no further keys to balance the load: the reply to its
/// heartbeat lists all of its entries and is limited to 4 KiB.
const MAX_ENTRIES_PER_TARGET: usize = 48;

/// The maximum number of keys in a piece without measured load.
const UNMEASURED_PIECE_KEYS: u32 = 512;

/// Share of a service's measured load that is added to all keys evenly, so that keys without
/// measured load count too.
const EVEN_LOAD_SHARE: f64 = 0.1;

/// A target with a request limit whose capacity is below this share of the mean is starved: it takes
/// next to no requests. It passes all of its keys on and gets none.
const STARVED_SHARE: f64 = 0.005;

/// The measured load of the keys of a trial, at least, so that a request arrives within about a
/// second.
const TRIAL_PER_S: f64 = 1.0;

/// The measured load of a range of keys.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeyLoad {
    /// The keys.
    pub range: KeyRange,
    /// Requests per second for all keys of the range.
    pub per_s: f64,
}

/// A target, its capacity and the load of its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLoad {
    /// The target as an owner of keys.
    pub owner: Owner,
    /// Requests per second that the target can process.
    pub capacity_per_s: f64,
    /// Whether the target announces a request limit.
    pub is_limited: bool,
    /// Whether the target may be assigned keys. A target that is not eligible, such as one that is
    /// draining, loses all of its keys.
    pub is_eligible: bool,
    /// Whether keys that begin to leave it cannot be served for some time. None are taken from it to
    /// balance load.
    pub releases_late: bool,
    /// The measured load of its keys, in ascending order of the keys.
    pub loads: Vec<KeyLoad>,
}

/// A range of keys that is to change its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// The keys.
    pub range: KeyRange,
    /// The next owner.
    pub to: Owner,
}

/// Thresholds and limits of moves that balance the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannerSettings {
    /// Ratio of the highest to the mean utilisation above which keys move. Below it, a move costs
    /// more than it gains.
    pub imbalance_ratio: f64,
    /// Utilisation of the busiest target, as a fraction, up to which no requests wait, so that no
    /// keys need to move.
    pub busy_utilisation: f64,
    /// The number of ranges that one round may move, so that the next round measures the effect of
    /// the moves; 0 for no moves. A round may always move one range for every four targets, unless
    /// this is 0.
    pub moves_per_round: usize,
}

/// Plans which targets are to own which keys.
#[derive(Debug, Clone, Copy)]
pub struct Planner {
    settings: PlannerSettings,
}

/// A round may move one range for every this many targets, even if the settings allow fewer: a
/// large service has more hot keys at once than a small one.
const TARGETS_PER_MOVE: usize = 4;

/// Neighbouring keys that are planned as a unit.
#[derive(Debug, Clone, Copy)]
struct Piece {
    range: KeyRange,
    /// The load in requests per second: the measured load plus an even share per key.
    weight: f64,
    measured_per_s: f64,
    /// The index of the owner, or of the next owner if the piece is moving.
    target: Option<usize>,
    /// Whether a change of owner is under way.
    is_moving: bool,
}

impl Planner {
    /// Creates a planner with these settings.
    pub const fn new(settings: PlannerSettings) -> Self {
        Self { settings }
    }

    /// Plans owners for the keys that are free or whose owner is not eligible.
    ///
    /// Keys that are moving, or whose owner is not among `targets`, are left alone.
    pub fn place_orphaned_keys(
        &self,
        assignment: &Assignment,
        targets: &[TargetLoad],
    ) -> Vec<PlannedMove> {
        let pieces = cut_pieces(assignment, targets);
        let mut usage = Usage::new(&pieces, targets);
        if !usage.has_eligible_targets() {
            return Vec::new();
        }
        let mut moves = Vec::new();
        let mut last_owner = None;
        for piece in &pieces {
            let stays = piece.target.is_some_and(|it| targets[it].is_eligible);
            let is_held_elsewhere = piece.target.is_none() && !is_free(assignment, piece.range);
            if stays || is_held_elsewhere || piece.is_moving {
                continue;
            }
            let Some(new_owner) = usage.choose_owner(piece.weight, last_owner) else {
                break;
            };
            last_owner = Some(new_owner);
            usage.add(new_owner, piece.weight, piece.range.len());
            push_move(&mut moves, piece.range, &targets[new_owner].owner);
        }
        moves
    }

    /// Plans moves from the targets with the highest utilisation to those with the lowest. A target
    /// without keys gets some even if the thresholds of the settings are not exceeded.
    pub fn balance(&self, assignment: &Assignment, targets: &[TargetLoad]) -> Vec<PlannedMove> {
        let mut pieces = cut_pieces(assignment, targets);
        let mut usage = Usage::new(&pieces, targets);
        let mut moves = Vec::new();
        for _ in 0..self.moves_per_round(targets.len()) {
            let Some((from, to, chosen)) = self.next_move(&pieces, &usage) else {
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
            let keys: u32 = pieces[chosen.clone()].iter().map(|it| it.range.len()).sum();
            usage.remove(from, weight, keys);
            usage.add(to, weight, keys);
            for piece in &mut pieces[chosen] {
                piece.target = Some(to);
                // A second move of the same keys would change nothing.
                piece.is_moving = true;
            }
            push_move(&mut moves, range, &targets[to].owner);
        }
        moves
    }
}

impl Planner {
    /// Plans to give each of the `wanting` targets a few keys, so that requests show whether its
    /// limit has ended: the lightest piece that is likely to get one. Targets whose keys have load
    /// get none.
    pub fn trials(
        &self,
        assignment: &Assignment,
        targets: &[TargetLoad],
        wanting: &[TargetIncarnation],
    ) -> Vec<PlannedMove> {
        let mut pieces = cut_pieces(assignment, targets);
        let is_wanting = |index: usize| wanting.contains(&targets[index].owner.target);
        let mut moves = Vec::new();
        for to in 0..targets.len() {
            let load: f64 = targets[to].loads.iter().map(|it| it.per_s).sum();
            if !targets[to].is_eligible || !is_wanting(to) || load >= TRIAL_PER_S {
                continue;
            }
            let entries = assignment.owned_by(&targets[to].owner.target).count();
            if moves.len() >= self.moves_per_round(targets.len())
                || entries >= MAX_ENTRIES_PER_TARGET
            {
                break;
            }
            let is_candidate = |it: &&mut Piece| {
                let is_elsewhere =
                    it.target.is_some_and(|it| !is_wanting(it) && !targets[it].releases_late);
                is_elsewhere && !it.is_moving && it.measured_per_s >= TRIAL_PER_S
            };
            let by_load = |a: &&mut Piece, b: &&mut Piece| a.weight.total_cmp(&b.weight);
            let Some(piece) = pieces.iter_mut().filter(is_candidate).min_by(by_load) else {
                break;
            };
            piece.is_moving = true;
            push_move(&mut moves, piece.range, &targets[to].owner);
        }
        moves
    }

    /// Chooses the next move: the target with the highest utilisation, the one that takes the keys,
    /// and the pieces. A starved target that can pass nothing on does not hold up the others.
    fn next_move(
        &self,
        pieces: &[Piece],
        usage: &Usage<'_>,
    ) -> Option<(usize, usize, std::ops::Range<usize>)> {
        let mut stuck: Vec<usize> =
            (0..usage.targets.len()).filter(|it| usage.targets[*it].releases_late).collect();
        loop {
            let from = usage.busiest(&stuck)?;
            if let Some((to, chosen)) = self.choose_move(pieces, usage, from) {
                return Some((from, to, chosen));
            }
            if !usage.is_starved(from) {
                return None;
            }
            stuck.push(from);
        }
    }

    /// Chooses the next move of keys from a target: to the one with the lowest utilisation that can
    /// take a piece, and which pieces.
    fn choose_move(
        &self,
        pieces: &[Piece],
        usage: &Usage<'_>,
        from: usize,
    ) -> Option<(usize, std::ops::Range<usize>)> {
        let is_movable = |it: &&Piece| it.target == Some(from) && !it.is_moving;
        let lightest = pieces.iter().filter(is_movable).map(|it| it.weight);
        let lightest = lightest.min_by(f64::total_cmp)?;
        let is_unbalanced = usage.is_unbalanced(from, self.settings);
        let max_load = |to: usize| match usage.is_starved(from) {
            // Requests for keys that stay would be refused, so a piece may exceed the fair share.
            true => usage.excess(from, to).max(lightest),
            false => usage.excess(from, to),
        };
        let takes_piece = |to: usize| match is_unbalanced {
            true => lightest <= max_load(to),
            false => {
                let max_keys = usage.fair_key_count(to);
                let fits = |it: &Piece| it.weight <= max_load(to) && it.range.len() <= max_keys;
                usage.keys[to] == 0 && pieces.iter().filter(is_movable).any(fits)
            }
        };
        let to = usage.idlest(|to| to != from && takes_piece(to))?;
        let goal = match is_unbalanced {
            true => RunGoal::Load,
            false => RunGoal::Keys { at_most: usage.fair_key_count(to) },
        };
        Some((to, choose_run(pieces, from, max_load(to), goal)?))
    }

    fn moves_per_round(&self, target_count: usize) -> usize {
        match self.settings.moves_per_round {
            0 => 0,
            moves => moves.max(target_count / TARGETS_PER_MOVE),
        }
    }
}

/// The load of each target, and the capacity of the eligible ones.
struct Usage<'a> {
    targets: &'a [TargetLoad],
    weights: Vec<f64>,
    /// The number of keys of each target.
    keys: Vec<u32>,
    total: f64,
    capacity: f64,
    /// The mean capacity of the eligible targets.
    mean_capacity: f64,
}

impl<'a> Usage<'a> {
    fn new(pieces: &[Piece], targets: &'a [TargetLoad]) -> Self {
        let mut weights = vec![0.0; targets.len()];
        let mut keys = vec![0; targets.len()];
        let mut total = 0.0;
        for piece in pieces {
            total += piece.weight;
            if let Some(target) = piece.target {
                weights[target] += piece.weight;
                keys[target] += piece.range.len();
            }
        }
        let eligible = targets.iter().filter(|it| it.is_eligible);
        let capacity = eligible.clone().map(|it| it.capacity_per_s).sum();
        let mean_capacity = capacity / eligible.count().max(1) as f64;
        Self { targets, weights, keys, total, capacity, mean_capacity }
    }

    fn has_eligible_targets(&self) -> bool {
        self.capacity > 0.0
    }

    fn add(&mut self, target: usize, weight: f64, keys: u32) {
        self.weights[target] += weight;
        self.keys[target] += keys;
    }

    fn remove(&mut self, target: usize, weight: f64, keys: u32) {
        self.weights[target] -= weight;
        self.keys[target] = self.keys[target].saturating_sub(keys);
    }

    /// Whether a target takes next to no requests.
    fn is_starved(&self, target: usize) -> bool {
        let target = &self.targets[target];
        target.is_limited && target.capacity_per_s < self.mean_capacity * STARVED_SHARE
    }

    fn utilisation(&self, target: usize) -> f64 {
        self.weights[target] / self.targets[target].capacity_per_s.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of the total load that a target gets in proportion to its capacity.
    fn fair_share(&self, target: usize) -> f64 {
        self.total * self.targets[target].capacity_per_s / self.capacity.max(f64::MIN_POSITIVE)
    }

    /// Returns the number of keys that a target gets in proportion to its capacity.
    fn fair_key_count(&self, target: usize) -> u32 {
        let share = self.targets[target].capacity_per_s / self.capacity.max(f64::MIN_POSITIVE);
        (f64::from(KEY_COUNT) * share) as u32
    }

    /// Returns the first eligible target, from `last` on, whose fair share has room for a piece;
    /// otherwise the one with the lowest utilisation. Neighbouring keys stay together that way: a
    /// target whose share is full is not returned to for the light pieces between heavy ones.
    fn choose_owner(&self, weight: f64, last: Option<usize>) -> Option<usize> {
        let count = self.targets.len();
        let from = last.unwrap_or(0);
        let mut eligible =
            (from..from + count).map(|it| it % count).filter(|it| self.targets[*it].is_eligible);
        let fits = |it: &usize| self.weights[*it] + weight / 2.0 <= self.fair_share(*it);
        eligible.find(fits).or_else(|| self.idlest(|_| true))
    }

    /// Returns the eligible target with the highest utilisation that is not among the `stuck` ones.
    fn busiest(&self, stuck: &[usize]) -> Option<usize> {
        let is_candidate = |it: &usize| self.targets[*it].is_eligible && !stuck.contains(it);
        let by_utilisation =
            |a: &usize, b: &usize| self.utilisation(*a).total_cmp(&self.utilisation(*b));
        (0..self.targets.len()).filter(is_candidate).max_by(by_utilisation)
    }

    /// Returns the eligible target with the lowest utilisation that is not starved and meets a
    /// condition.
    fn idlest(&self, meets: impl Fn(usize) -> bool) -> Option<usize> {
        let is_candidate =
            |it: &usize| self.targets[*it].is_eligible && !self.is_starved(*it) && meets(*it);
        let by_utilisation =
            |a: &usize, b: &usize| self.utilisation(*a).total_cmp(&self.utilisation(*b));
        (0..self.targets.len()).filter(is_candidate).min_by(by_utilisation)
    }

    /// Returns whether the utilisation of a target is above both thresholds of the settings.
    fn is_unbalanced(&self, from: usize, settings: PlannerSettings) -> bool {
        let mean = self.total / self.capacity.max(f64::MIN_POSITIVE);
        let utilisation = self.utilisation(from);
        utilisation > settings.busy_utilisation && utilisation > mean * settings.imbalance_ratio
    }

    /// Returns the load to move from one target to another, so that neither crosses its fair share.
    fn excess(&self, from: usize, to: usize) -> f64 {
        let surplus = self.weights[from] - self.fair_share(from);
        let room = self.fair_share(to) - self.weights[to];
        surplus.min(room).max(0.0)
    }
}

/// What a move to another target is for.
#[derive(Debug, Clone, Copy)]
enum RunGoal {
    /// To relieve a busy target: much load on few keys.
    Load,
    /// To give a new target its share of the keys although no target is busy, so that few keys are
    /// lost with any one of them.
    Keys { at_most: u32 },
}

/// Splits all keys into pieces. A piece lies within one entry. A piece with measured load also lies
/// within one measured range.
fn cut_pieces(assignment: &Assignment, targets: &[TargetLoad]) -> Vec<Piece> {
    let measured: f64 = targets.iter().flat_map(|it| &it.loads).map(|it| it.per_s).sum();
    let even_load_per_key = (measured * EVEN_LOAD_SHARE).max(1.0) / f64::from(KEY_COUNT);
    let mut pieces = Vec::new();
    for entry in assignment.entries() {
        let index_of = |owner: &Owner| targets.iter().position(|it| it.owner == *owner);
        let (measured_by, target) = match &entry.holding {
            Holding::Owned(owner) => (index_of(owner), index_of(owner)),
            Holding::Leaving { from, to, .. } => (index_of(from), to.as_ref().and_then(index_of)),
            Holding::Free => (None, None),
        };
        let is_moving = entry.holding.leaving_owner().is_some();
        let template = Piece {
            range: entry.range,
            weight: even_load_per_key,
            measured_per_s: 0.0,
            target,
            is_moving,
        };
        let loads = measured_by.map_or(&[][..], |it| &targets[it].loads);
        let mut next_key = u32::from(entry.range.first);
        let mut previous_first = entry.range.first;
        for load in loads {
            let Some(range) = load.range.overlap(entry.range) else {
                continue;
            };
            // A run of pieces that do not ascend could end before it begins.
            if range.first < previous_first {
                continue;
            }
            previous_first = range.first;
            push_unmeasured(&mut pieces, next_key, u32::from(range.first), template);
            let share = f64::from(range.len()) / f64::from(load.range.len());
            let measured_per_s = load.per_s * share;
            let weight = measured_per_s + even_load_per_key * f64::from(range.len());
            pieces.push(Piece { range, weight, measured_per_s, target, is_moving });
            next_key = u32::from(range.last) + 1;
        }
        let end = u32::from(entry.range.last) + 1;
        push_unmeasured(&mut pieces, next_key, end, template);
    }
    pieces
}

/// Appends pieces for the keys from `first` up to but excluding `end`, whose load is not measured.
/// `template` has the weight of one key.
fn push_unmeasured(pieces: &mut Vec<Piece>, first: u32, end: u32, template: Piece) {
    let mut first = first;
    while first < end {
        let last = (first + UNMEASURED_PIECE_KEYS).min(end) - 1;
        let (Ok(first_key), Ok(last_key)) = (u16::try_from(first), u16::try_from(last)) else {
            return;
        };
        let range = KeyRange { first: first_key, last: last_key };
        pieces.push(Piece { range, weight: template.weight * f64::from(range.len()), ..template });
        first = last + 1;
    }
}

/// Chooses the run of neighbouring pieces of a target that serves the goal best, with a load of at
/// most `max_load`. A run contains no piece that is moving.
fn choose_run(
    pieces: &[Piece],
    from: usize,
    max_load: f64,
    goal: RunGoal,
) -> Option<std::ops::Range<usize>> {
    let max_keys = match goal {
        RunGoal::Load => KEY_COUNT,
        RunGoal::Keys { at_most } => at_most,
    };
    let mut best: Option<(f64, std::ops::Range<usize>)> = None;
    let mut start = 0;
    let mut sum = 0.0;
    let mut keys = 0;
    for end in 0..pieces.len() {
        if pieces[end].target != Some(from) || pieces[end].is_moving {
            start = end + 1;
            sum = 0.0;
            keys = 0;
            continue;
        }
        sum += pieces[end].weight;
        keys += pieces[end].range.len();
        while (sum > max_load || keys > max_keys) && start <= end {
            sum -= pieces[start].weight;
            keys -= pieces[start].range.len();
            start += 1;
        }
        if start > end {
            sum = 0.0;
            continue;
        }
        let score = match goal {
            // The load is squared, so that half of the load on a tenth of the keys scores lower.
            RunGoal::Load => sum * sum / f64::from(keys).sqrt(),
            RunGoal::Keys { .. } => f64::from(keys),
        };
        if best.as_ref().is_none_or(|(it, _)| score > *it) {
            best = Some((score, start..end + 1));
        }
    }
    best.map(|(_, run)| run)
}

fn is_free(assignment: &Assignment, range: KeyRange) -> bool {
    assignment.entry_of(range.first).holding == Holding::Free
}

/// Appends a move, or extends the last one if its range ends just before and has the same next
/// owner.
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
