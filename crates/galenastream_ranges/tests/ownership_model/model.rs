//! The state of the model: one key, the row of the store, two planners, and a target with the node
//! beside it.

use std::{rc::Rc, time::Duration};

use galenastream_ranges::{Assignment, KeyRange, LeaseTerms, VacancyTracker};
use galenastream_utils::BootInstant;

use crate::{
    departure,
    injected_bug::InjectedBug,
    row::{FIRST, OTHER, Row},
    scope::Scope,
    state_key::StateKey,
    step::{Delivery, Step},
};

/// The time of one step in which time passes.
const STEP: Duration = Duration::from_millis(1_000);

/// The time that any other step takes. It orders the steps.
const SHORTEST: Duration = Duration::from_micros(1);

/// By how many percent the clock of the target runs slow.
const CLOCK_SLOW_PERCENT: u32 = 2;

/// The state of the model. Rows are shared between states.
#[derive(Debug, Clone)]
pub struct Model {
    pub now: BootInstant,
    pub store: Rc<Row>,
    /// A write under way. Its version is the one that it expects.
    pub late_write: Option<Rc<Row>>,
    pub node: NodeView,
    pub target: TargetLease,
    pub planners: [PlannerView; 2],
    /// The highest fencing token under which the other target has held the key.
    pub other_fence: u64,
}

/// What the node beside the target knows.
#[derive(Debug, Clone)]
pub struct NodeView {
    pub known: Option<Rc<Row>>,
    pub confirmed_at: Option<BootInstant>,
    pub started_at: BootInstant,
    /// Whether the target has released the key since the last grant of this process.
    pub has_released: bool,
}

/// The lease that the target enforces.
#[derive(Debug, Clone)]
pub struct TargetLease {
    pub until: BootInstant,
    /// The highest fencing token that it has seen.
    pub fence: u64,
}

/// What a planner knows.
#[derive(Debug, Clone)]
pub struct PlannerView {
    pub known: Rc<Row>,
    pub confirmed_at: BootInstant,
    pub vacancy: VacancyTracker,
}

impl Model {
    /// Creates the state in which the first target owns the key and all have read the row.
    pub fn new() -> Self {
        let now = BootInstant::new(100_000_000_000);
        let mut assignment = Assignment::new();
        assignment.assign(KeyRange::ALL, &FIRST);
        let row = Rc::new(Row { assignment, version: 1 });
        let mut vacancy = VacancyTracker::new();
        vacancy.observe(&row.assignment, now);
        let planner = PlannerView { known: row.clone(), confirmed_at: now, vacancy };
        Self {
            now,
            store: row.clone(),
            late_write: None,
            node: NodeView {
                known: Some(row),
                confirmed_at: Some(now),
                started_at: now,
                has_released: false,
            },
            target: TargetLease { until: now, fence: 0 },
            planners: [planner.clone(), planner],
            other_fence: 0,
        }
    }

    /// Returns the steps of a scope, whether they are possible in this state or not.
    pub fn steps(scope: &Scope) -> Vec<Step> {
        let mut steps = vec![Step::NodeReads, Step::NodeReplies, Step::TimePasses];
        let deliveries = match scope.with_lost_answers {
            true => &Delivery::ALL[..],
            false => &Delivery::ALL[..1],
        };
        for planner in 0..2 {
            steps.push(Step::PlannerReads { planner });
            if scope.with_peers {
                steps.push(Step::NodeSyncs { planner });
            }
        }
        for &delivery in deliveries {
            if scope.with_cancellations {
                steps.push(Step::NodeCancels(delivery));
            }
            if scope.with_moves {
                steps.push(Step::NodeHandsOver(delivery));
            }
            for planner in 0..2 {
                steps.push(Step::PlannerRevokes { planner, delivery });
                steps.push(Step::PlannerCompletes { planner, delivery });
                if scope.with_moves {
                    steps.push(Step::PlannerMoves { planner, delivery });
                }
            }
        }
        if scope.with_earlier_programs {
            steps.push(Step::EarlierProgramWrites);
            for planner in 0..2 {
                steps.push(Step::PlannerRecords { planner });
            }
        }
        if scope.with_moves {
            steps.push(Step::OtherReleases);
        }
        if scope.with_restarts {
            steps.push(Step::NodeRestarts);
        }
        if scope.with_lost_answers {
            steps.push(Step::LateWriteArrives);
        }
        steps
    }

    /// Returns the state after a step; `None` if the step is not possible or changes nothing.
    pub fn after(&self, step: Step, scope: &Scope) -> Option<Self> {
        let mut next = self.clone();
        next.now = self.now + SHORTEST;
        match step {
            Step::TimePasses => next.now = self.now + STEP,
            Step::NodeReads => {
                let confirmed_at = match scope.bug {
                    InjectedBug::LateConfirmation => next.now + STEP,
                    _ => next.now,
                };
                next.node.learn(&self.store, confirmed_at);
            }
            Step::NodeSyncs { planner } => {
                let peer = &self.planners[planner];
                next.node.learn(&peer.known, peer.confirmed_at);
            }
            Step::NodeReplies => next.reply(scope)?,
            Step::NodeCancels(delivery) => next.cancel(delivery)?,
            Step::NodeHandsOver(delivery) => next.hand_over(delivery, scope)?,
            Step::NodeRestarts => {
                next.node = NodeView {
                    known: None,
                    confirmed_at: None,
                    started_at: next.now,
                    has_released: false,
                };
            }
            Step::PlannerReads { planner } => {
                next.planners[planner].learn(&self.store, next.now, scope);
            }
            Step::PlannerRevokes { planner, delivery } => {
                let known = self.planners[planner].known.clone();
                known.entry().holding.owner()?;
                let mut assignment = known.assignment.clone();
                departure::begin(&mut assignment, None, known.version);
                next.commit_of_planner(planner, &known, assignment, delivery, scope)?;
            }
            Step::PlannerMoves { planner, delivery } => {
                let known = self.planners[planner].known.clone();
                let owner = known.entry().holding.owner()?;
                let to = if *owner == *FIRST { &*OTHER } else { &*FIRST };
                let mut assignment = known.assignment.clone();
                departure::begin(&mut assignment, Some(to), known.version);
                next.commit_of_planner(planner, &known, assignment, delivery, scope)?;
            }
            Step::PlannerCompletes { planner, delivery } => {
                next.complete_vacant(planner, delivery, scope)?;
            }
            Step::PlannerRecords { planner } => {
                let known = self.planners[planner].known.clone();
                if !matches!(departure::leaving(&known.entry().holding), Some((_, _, 0))) {
                    return None;
                }
                let mut assignment = known.assignment.clone();
                assignment.record_departures(known.version);
                next.commit_of_planner(planner, &known, assignment, Delivery::Answered, scope)?;
            }
            Step::EarlierProgramWrites => {
                let row = self.store.clone();
                let mut assignment = row.assignment.clone();
                departure::drop_from(&mut assignment);
                next.write(&row, assignment, Delivery::AnswerLost, scope)?;
            }
            Step::OtherReleases => {
                let row = self.store.clone();
                if !row.is_left_by(&OTHER) {
                    return None;
                }
                let mut assignment = row.assignment.clone();
                assignment.complete_move(&OTHER.target, KeyRange::ALL, "");
                assignment.assign(KeyRange::ALL, &FIRST);
                next.write(&row, assignment, Delivery::Answered, scope)?;
            }
            Step::LateWriteArrives => {
                let write = next.late_write.take()?;
                if write.version == next.store.version {
                    next.write(&write, write.assignment.clone(), Delivery::AnswerLost, scope)?;
                }
            }
        }
        if next.other_holds() {
            next.other_fence = next.other_fence.max(fence_of(&next.store, scope));
        }
        Some(next)
    }

    /// Returns which rule the step from `earlier` to this state has broken.
    pub fn violation(&self, earlier: &Self) -> Option<&'static str> {
        if self.now < self.target.until && self.other_holds() {
            return Some("both targets hold the key");
        }
        let is_new_grant = self.target.until > earlier.target.until;
        if is_new_grant && self.target.fence <= self.other_fence {
            return Some("the first target holds the key under no higher fencing token");
        }
        let is_new_hold = self.other_holds() && !earlier.other_holds();
        if is_new_hold && self.other_fence <= self.target.fence {
            return Some("the other target holds the key under no higher fencing token");
        }
        None
    }

    /// Returns the key under which equal states are found, whatever the time and the versions.
    pub fn key(&self, terms: &LeaseTerms) -> StateKey {
        StateKey::new(self, terms)
    }

    pub fn other_holds(&self) -> bool {
        self.store.is_owned_by(&OTHER)
    }

    /// Replies to a heartbeat that the target has sent just before.
    fn reply(&mut self, scope: &Scope) -> Option<()> {
        let row = self.node.known.clone()?;
        let confirmed_at = self.node.confirmed_at?;
        if confirmed_at < self.node.started_at
            && scope.bug != InjectedBug::GrantOnEarlierConfirmation
        {
            return None;
        }
        let lease = match scope.bug {
            InjectedBug::LeaseBeyondValidity => Some(scope.terms.max_lease),
            _ => scope.terms.lease(confirmed_at, self.now),
        };
        let lease = lease?;
        let is_granted = row.is_owned_by(&FIRST)
            || scope.bug == InjectedBug::GrantWhileLeaving && row.is_left_by(&FIRST);
        let fence = fence_of(&row, scope);
        if is_granted && fence >= self.target.fence {
            self.target.until = self.now + lease * (100 + CLOCK_SLOW_PERCENT) / 100;
            self.target.fence = fence;
            self.node.has_released = false;
        } else {
            self.target.until = self.target.until.min(self.now);
            self.node.has_released = true;
        }
        Some(())
    }

    fn cancel(&mut self, delivery: Delivery) -> Option<()> {
        let row = self.node.known.clone()?;
        let (from, to, _) = departure::leaving(&row.entry().holding)?;
        if *from != *FIRST || to.is_some() {
            return None;
        }
        let mut assignment = row.assignment.clone();
        assignment.cancel_moves(&FIRST.target);
        self.commit_of_node(&row, assignment, delivery, &Scope::new())
    }

    fn hand_over(&mut self, delivery: Delivery, scope: &Scope) -> Option<()> {
        let row = self.node.known.clone()?;
        let has_released =
            self.node.has_released || scope.bug == InjectedBug::HandoverBeforeRelease;
        if !has_released || !row.is_left_by(&FIRST) {
            return None;
        }
        let mut assignment = row.assignment.clone();
        assignment.complete_move(&FIRST.target, KeyRange::ALL, "");
        self.commit_of_node(&row, assignment, delivery, scope)
    }

    fn complete_vacant(&mut self, planner: usize, delivery: Delivery, scope: &Scope) -> Option<()> {
        let view = &self.planners[planner];
        let terms = match scope.bug {
            InjectedBug::ImpatientPlanner => LeaseTerms::new(Duration::ZERO, Duration::ZERO),
            _ => scope.terms,
        };
        let known = view.known.clone();
        let mut assignment = known.assignment.clone();
        let (target, _) = departure::vacant(&view.vacancy, &known.assignment, &terms, self.now)?;
        if !assignment.complete_move(&target, KeyRange::ALL, "") {
            return None;
        }
        assignment.assign(KeyRange::ALL, &OTHER);
        self.commit_of_planner(planner, &known, assignment, delivery, scope)
    }

    fn commit_of_node(
        &mut self,
        based_on: &Rc<Row>,
        assignment: Assignment,
        delivery: Delivery,
        scope: &Scope,
    ) -> Option<()> {
        self.write(based_on, assignment, delivery, scope)?;
        if delivery == Delivery::Answered {
            self.node.known = Some(self.store.clone());
        }
        Some(())
    }

    fn commit_of_planner(
        &mut self,
        planner: usize,
        based_on: &Rc<Row>,
        assignment: Assignment,
        delivery: Delivery,
        scope: &Scope,
    ) -> Option<()> {
        self.write(based_on, assignment, delivery, scope)?;
        if delivery == Delivery::Answered {
            let confirmed_at = self.planners[planner].confirmed_at;
            self.planners[planner].learn_at(&self.store, confirmed_at, self.now, scope);
        }
        Some(())
    }

    /// Writes the row if it still has the version that the change is based on. A write that fails
    /// is not possible: it equals a read.
    fn write(
        &mut self,
        based_on: &Rc<Row>,
        assignment: Assignment,
        delivery: Delivery,
        scope: &Scope,
    ) -> Option<()> {
        if delivery == Delivery::Late {
            if self.late_write.is_some() {
                return None;
            }
            self.late_write = Some(Rc::new(Row { assignment, version: based_on.version }));
            return Some(());
        }
        let is_conditional = scope.bug != InjectedBug::UnconditionalWrites;
        if is_conditional && based_on.version != self.store.version {
            return None;
        }
        self.store = Rc::new(Row { assignment, version: self.store.version + 1 });
        Some(())
    }
}

/// The fencing token under which the owner holds the key.
fn fence_of(row: &Row, scope: &Scope) -> u64 {
    match scope.bug {
        InjectedBug::ConstantFences => 1,
        _ => row.entry().fence,
    }
}

impl NodeView {
    fn learn(&mut self, row: &Rc<Row>, confirmed_at: BootInstant) {
        let known = self.known.as_ref().map_or(0, |it| it.version);
        if row.version > known {
            self.known = Some(row.clone());
        }
        // A confirmation of an older row says nothing about the known one.
        if row.version >= known {
            self.confirmed_at =
                Some(self.confirmed_at.map_or(confirmed_at, |it| it.max(confirmed_at)));
        }
    }
}

impl PlannerView {
    fn learn(&mut self, row: &Rc<Row>, now: BootInstant, scope: &Scope) {
        self.learn_at(row, now, now, scope);
    }

    fn learn_at(
        &mut self,
        row: &Rc<Row>,
        confirmed_at: BootInstant,
        now: BootInstant,
        scope: &Scope,
    ) {
        self.confirmed_at = confirmed_at;
        if row.version <= self.known.version {
            return;
        }
        let is_next_version = row.version == self.known.version + 1;
        let mut row = Row::clone(row);
        if is_next_version || scope.bug == InjectedBug::DepartureContinuesOverGaps {
            row.assignment.continue_from(&self.known.assignment);
        }
        self.vacancy.observe(&row.assignment, now);
        self.known = Rc::new(row);
    }
}
