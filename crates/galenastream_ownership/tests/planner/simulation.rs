//! A seeded simulation of the load on a cell's targets, with the planner on or off.

use galenastream_ownership::{
    BootInstant, CellId, CellRow, Epoch, HotKey, Incarnation, KeyHash, LiveMember, Member,
    PlannedChange, Planner, PlannerWeights, ServiceId, Slice, SliceEpoch, SliceId, SliceLoad, Term,
    VmId, WitnessSet,
};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub seed: u64,
    pub keys: usize,
    pub targets: usize,
    /// `None`: plain hashing.
    pub weights: Option<PlannerWeights>,
}

/// One second of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The most loaded target's load over the mean.
    pub max_over_mean: f64,
    /// What no assignment can better: a key has one owner.
    pub best_possible: f64,
    /// Share of the hash space that changed owner.
    pub churn: f64,
    /// Handoff time that the average request's key saw.
    pub unavailable_ms: f64,
    pub moves: usize,
    pub slices: usize,
}

/// How long the hottest keys stay the same.
pub const SHIFT_AT_S: usize = 300;

/// How long a simulation lasts.
pub const END_S: usize = 600;

const SLOTS: u32 = 20;
const SLICES_PER_TARGET: usize = 64;
const SHIFTING_KEYS: usize = 400;

/// Part of the slots that are busy on average.
const UTILIZATION: f64 = 0.5;

/// Measured loads differ from the true ones by up to this part.
const NOISE: f64 = 0.15;

/// A key is reported as its slice's hottest from this share of the load on.
const REPORTED_SHARE_PERCENT: u8 = 20;

/// How long a planned handoff of one slice takes.
const HANDOFF_MS: f64 = 20.0;

struct Key {
    hash: KeyHash,
    millislots: f64,
}

struct Simulation {
    rng: StdRng,
    keys: Vec<Key>,
    members: Vec<LiveMember>,
    row: CellRow,
    /// The true loads of the row's slices, with their hottest keys.
    loads: Vec<SliceLoad>,
}

/// Runs a simulation and returns a sample of each second.
pub fn simulate(setup: Setup) -> Vec<Sample> {
    simulate_with(setup, |_, _, _| ())
}

/// Runs a simulation and shows each second's row and changes to `inspect` before they are made.
pub fn simulate_with(
    setup: Setup,
    mut inspect: impl FnMut(usize, &CellRow, &[PlannedChange]),
) -> Vec<Sample> {
    let mut simulation = Simulation::new(setup);
    let mut planner = setup.weights.map(|it| Planner::new(it, BootInstant::default()));
    let mut samples = Vec::new();
    for second in 0..END_S {
        if second == SHIFT_AT_S {
            simulation.shift_hot_keys();
        }
        let now = BootInstant::new(second as u64 * 1_000_000_000);
        let changes = match &mut planner {
            Some(planner) => {
                planner.record(now, &simulation.measure());
                planner.plan(now, &simulation.row, &simulation.members)
            }
            None => Vec::new(),
        };
        inspect(second, &simulation.row, &changes);
        samples.push(simulation.step(&changes));
    }
    samples
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let mut rng = StdRng::seed_from_u64(setup.seed);
        let harmonic: f64 = (1..=setup.keys).map(|it| 1.0 / it as f64).sum();
        let total = setup.targets as f64 * f64::from(SLOTS) * 1_000.0 * UTILIZATION;
        let mut keys = Vec::new();
        for rank in 1..=setup.keys {
            let name = format!("key-{}-{}", setup.seed, rng.random::<u64>());
            let millislots = total / harmonic / rank as f64;
            keys.push(Key { hash: KeyHash::of(name.as_bytes()), millislots });
        }
        keys.sort_by_key(|it| it.hash);
        let members: Vec<LiveMember> = (0..setup.targets)
            .map(|index| LiveMember {
                member: Member::new(VmId::from_bits(index as u64 + 1), Incarnation(1)),
                slots: SLOTS,
                draining: false,
            })
            .collect();
        let row = row(&members);
        let mut simulation = Self { rng, keys, members, row, loads: Vec::new() };
        simulation.add_up();
        simulation
    }

    fn add_up(&mut self) {
        let mut loads = Vec::with_capacity(self.row.slices.len());
        for (index, slice) in self.row.slices.iter().enumerate() {
            let keys = self.keys_of(index);
            let load: f64 = keys.iter().map(|it| it.millislots).sum();
            let hottest = keys.iter().max_by(|a, b| a.millislots.total_cmp(&b.millislots));
            let hottest = hottest.map(|it| HotKey {
                hash: it.hash,
                share_percent: (it.millislots / load * 100.0) as u8,
            });
            loads.push(SliceLoad {
                slice: slice.id,
                busy_millislots: load as u32,
                hottest: hottest.filter(|it| it.share_percent >= REPORTED_SHARE_PERCENT),
            });
        }
        self.loads = loads;
    }

    /// The hottest keys change places with keys chosen at random.
    fn shift_hot_keys(&mut self) {
        let mut by_load: Vec<usize> = (0..self.keys.len()).collect();
        by_load.sort_by(|a, b| self.keys[*b].millislots.total_cmp(&self.keys[*a].millislots));
        let hot: Vec<usize> = by_load[..SHIFTING_KEYS].to_vec();
        by_load.shuffle(&mut self.rng);
        for (a, b) in hot.into_iter().zip(by_load) {
            let load = self.keys[a].millislots;
            self.keys[a].millislots = self.keys[b].millislots;
            self.keys[b].millislots = load;
        }
        self.add_up();
    }

    /// The keys of each slice, in the order of the row.
    fn keys_of(&self, index: usize) -> &[Key] {
        let slice = &self.row.slices[index];
        let last = self.row.last_position(index);
        let begin = self.keys.partition_point(|it| it.hash < slice.first);
        let end = self.keys.partition_point(|it| it.hash <= last);
        &self.keys[begin..end]
    }

    /// What the owners' nodes report.
    fn measure(&mut self) -> Vec<SliceLoad> {
        let mut reports = self.loads.clone();
        for report in &mut reports {
            let noise = self.rng.random_range(1.0 - NOISE..1.0 + NOISE);
            report.busy_millislots = (f64::from(report.busy_millislots) * noise) as u32;
        }
        reports
    }

    fn step(&mut self, changes: &[PlannedChange]) -> Sample {
        let total: f64 = self.keys.iter().map(|it| it.millislots).sum();
        let mut churn = 0.0;
        let mut unavailable_ms = 0.0;
        let mut moves = 0;
        for change in changes {
            if let PlannedChange::Move { id, .. } = change {
                let index = position(&self.row, *id);
                let load = self.keys_of(index).iter().map(|it| it.millislots).sum::<f64>();
                unavailable_ms += HANDOFF_MS * load / total;
                churn += width(self.row.slices[index].first, self.row.last_position(index));
                moves += 1;
            }
            apply(&mut self.row, change);
        }
        if !changes.is_empty() {
            self.add_up();
        }
        let mut loads = vec![0.0; self.members.len()];
        for (slice, load) in self.row.slices.iter().zip(&self.loads) {
            let owner = slice.owner.expect("every slice has an owner").vm.bits() as usize - 1;
            loads[owner] += f64::from(load.busy_millislots);
        }
        let mean = total / self.members.len() as f64;
        let hottest = self.keys.iter().map(|it| it.millislots).fold(0.0, f64::max);
        Sample {
            max_over_mean: loads.iter().copied().fold(0.0, f64::max) / mean,
            best_possible: (hottest / mean).max(1.0),
            churn,
            unavailable_ms,
            moves,
            slices: self.row.slices.len(),
        }
    }
}

fn width(first: KeyHash, last: KeyHash) -> f64 {
    (last.0 - first.0) as f64 / u64::MAX as f64
}

/// A row whose slices are dealt out in turn.
pub fn row(members: &[LiveMember]) -> CellRow {
    let count = members.len() * SLICES_PER_TARGET;
    let step = u64::MAX / count as u64;
    let slices = (0..count).map(|index| Slice {
        id: SliceId(index as u32),
        first: KeyHash(index as u64 * step),
        epoch: Epoch(1),
        owner: Some(members[index % members.len()].member),
    });
    CellRow {
        cell: CellId::new(ServiceId::from_name("catalogue"), 0),
        term: Term(1),
        coordinator: members[0].member,
        witnesses: WitnessSet::default(),
        grant_checkers: Vec::new(),
        slices: slices.collect(),
        next_slice: SliceId(count as u32),
    }
}

/// Carries out a change at once.
pub fn apply(row: &mut CellRow, change: &PlannedChange) {
    match change {
        PlannedChange::Move { id, to } => {
            let index = position(row, *id);
            row.slices[index].owner = Some(*to);
            row.slices[index].epoch.0 += 1;
        }
        PlannedChange::Split { id, firsts } => {
            let index = position(row, *id);
            let parent = row.slices.remove(index);
            let starts = std::iter::once(parent.first).chain(firsts.iter().copied());
            for (offset, first) in starts.enumerate() {
                let child =
                    Slice { id: row.next_slice, first, epoch: next(parent.epoch), ..parent };
                row.slices.insert(index + offset, child);
                row.next_slice.0 += 1;
            }
        }
        PlannedChange::Merge { id, next: other } => {
            let index = position(row, *id);
            assert_eq!(position(row, *other), index + 1);
            let second = row.slices.remove(index + 1);
            let slice = &mut row.slices[index];
            assert_eq!(slice.owner, second.owner);
            slice.epoch = next(slice.epoch.max(second.epoch));
            slice.id = row.next_slice;
            row.next_slice.0 += 1;
        }
    }
}

fn position(row: &CellRow, id: SliceEpoch) -> usize {
    let at = |it: &Slice| it.id == id.slice && it.epoch == id.epoch;
    row.slices.iter().position(at).expect("the slice is in the row")
}

fn next(epoch: Epoch) -> Epoch {
    Epoch(epoch.0 + 1)
}
