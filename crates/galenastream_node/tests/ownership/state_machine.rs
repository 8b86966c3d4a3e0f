//! Draws sequences of steps for real control states, a store and targets, and shrinks those that
//! break a rule: at most one target holds a key by its own leases, and fencing tokens rise.

mod deployment;
mod played_target;
mod played_vm;
mod step;

use std::ops::RangeInclusive;

use galenastream_standin::fuzz_config;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{TestError, TestRunner},
};

use self::{
    deployment::{Deployment, SAMPLE_KEYS},
    step::{Born, Step},
};
use crate::injected_bug::InjectedBug;

const CASES: u32 = 100;
const MAX_STEPS: usize = 16;

/// Shrinking runs a case as often at most.
const MAX_SHRINK_ITERS: u32 = 600;

const VMS: RangeInclusive<usize> = 2..=3;

fn born() -> impl Strategy<Value = Born> {
    prop_oneof![Just(Born::Same), Just(Born::Earlier), Just(Born::Later)]
}

/// Delays of heartbeats, and those of an earlier target.
fn heartbeats() -> BoxedStrategy<Step> {
    prop_oneof![
        (0..3_usize, 1..7_u32).prop_map(|(vm, count)| Step::DelayHeartbeats { vm, count }),
        (0..3_usize, 0..8_usize).prop_map(|(vm, pick)| Step::DeliverDelayed { vm, pick }),
        (0..3_usize, born()).prop_map(|(vm, born)| Step::EarlierTarget { vm, born }),
        (0..3_usize, 0..1_200_u64).prop_map(|(vm, ms)| Step::DelayReplies { vm, ms }),
        (0..3_usize, 1..4_u32).prop_map(|(vm, count)| Step::LoseReplies { vm, count }),
    ]
    .boxed()
}

/// Targets that accept no connections, and others that end.
fn connections() -> BoxedStrategy<Step> {
    prop_oneof![
        (0..3_usize, 1..4_u32).prop_map(|(vm, count)| Step::DelayHeartbeats { vm, count }),
        (0..3_usize, 0..8_usize).prop_map(|(vm, pick)| Step::DeliverDelayed { vm, pick }),
        (0..3_usize).prop_map(|vm| Step::Deregister { vm }),
        (0..3_usize).prop_map(|vm| Step::Overload { vm }),
        (0..3_usize, 500..4_000_u64).prop_map(|(vm, ms)| Step::CloseListener { vm, ms }),
        (0..3_usize, 0..3_000_u64).prop_map(|(vm, ms)| Step::DelayProbes { vm, ms }),
        (0..3_usize, 50..3_000_u64, born()).prop_map(|(vm, ms, born)| Step::ReplaceTarget {
            vm,
            ms,
            born
        }),
    ]
    .boxed()
}

/// Restarts of the second node, while heartbeats of its target are under way.
fn restarts_of_second() -> BoxedStrategy<Step> {
    prop_oneof![
        (50..1_000_u64).prop_map(|ms| Step::RestartNode { vm: 1, ms }),
        (1..8_u32).prop_map(|count| Step::DelayHeartbeats { vm: 1, count }),
        (0..8_usize).prop_map(|pick| Step::DeliverDelayed { vm: 1, pick }),
    ]
    .boxed()
}

/// A target starts. Its first heartbeat, from before it gets keys, stays under way, and so do those
/// from when its keys begin to move.
const KEYS_OF_NEW_TARGET_LEAVE: [Step; 6] = [
    Step::ReplaceTarget { vm: 1, ms: 100, born: Born::Later },
    Step::DelayHeartbeats { vm: 1, count: 1 },
    Step::Pass { ms: 3_000 },
    Step::DelayHeartbeats { vm: 1, count: 8 },
    Step::Deregister { vm: 1 },
    Step::Pass { ms: 300 },
];

/// Restarts of nodes beside running targets, with heartbeats under way.
fn restarts() -> BoxedStrategy<Step> {
    prop_oneof![
        2 => (0..3_usize, 0..2_000_u64).prop_map(|(vm, ms)| Step::RestartNode { vm, ms }),
        1 => (0..3_usize, 1..4_u32).prop_map(|(vm, count)| Step::DelayHeartbeats { vm, count }),
        1 => (0..3_usize, 0..8_usize).prop_map(|(vm, pick)| Step::DeliverDelayed { vm, pick }),
        1 => (0..3_usize).prop_map(|vm| Step::Overload { vm }),
        1 => (0..3_usize, 1..4_u32).prop_map(|(vm, count)| Step::LoseReplies { vm, count }),
    ]
    .boxed()
}

/// Suspensions, cuts and missed rows.
fn outages() -> BoxedStrategy<Step> {
    prop_oneof![
        (0..3_usize, 500..8_000_u64).prop_map(|(vm, ms)| Step::SuspendVm { vm, ms }),
        (0..3_usize, 500..8_000_u64).prop_map(|(vm, ms)| Step::SuspendNode { vm, ms }),
        (0..3_usize, 500..20_000_u64).prop_map(|(vm, ms)| Step::CutNode { vm, ms }),
        (0..3_usize, 500..16_000_u64).prop_map(|(vm, ms)| Step::CutPeers { vm, ms }),
        (0..3_usize, 500..16_000_u64).prop_map(|(vm, ms)| Step::CutStore { vm, ms }),
        (0..3_usize, 500..6_000_u64).prop_map(|(vm, ms)| Step::MissRows { vm, ms }),
        (0..3_usize, 500..5_000_u64).prop_map(|(vm, ms)| Step::DelayWrite { vm, ms }),
        (0..3_usize).prop_map(|vm| Step::Overload { vm }),
        (0..3_usize).prop_map(|vm| Step::LoseAnswer { vm }),
    ]
    .boxed()
}

/// Cuts and suspensions that last until the keys of a VM are revoked.
fn cuts() -> BoxedStrategy<Step> {
    prop_oneof![
        (0..3_usize, 3_600..9_000_u64).prop_map(|(vm, ms)| Step::SuspendVm { vm, ms }),
        (0..3_usize, 3_600..20_000_u64).prop_map(|(vm, ms)| Step::CutNode { vm, ms }),
        (0..3_usize, 3_600..20_000_u64).prop_map(|(vm, ms)| Step::CutPeers { vm, ms }),
    ]
    .boxed()
}

/// The keys of the third target are revoked. Then the planner is cut off, and the third node is back.
const PLANNER_MISSES_RETURN: [Step; 3] = [
    Step::CutNode { vm: 2, ms: 4_200 },
    Step::Pass { ms: 4_000 },
    Step::CutNode { vm: 0, ms: 12_000 },
];

fn all() -> BoxedStrategy<Step> {
    prop_oneof![heartbeats(), connections(), restarts(), outages()].boxed()
}

/// The cases of a test.
struct Plan {
    cases: u32,
    vm_counts: RangeInclusive<usize>,
    /// The steps with which every case begins.
    prefix: &'static [Step],
    fault: BoxedStrategy<Step>,
    /// The time after the last step, in which its effects show.
    tail_ms: u64,
    bug: InjectedBug,
}

impl Plan {
    fn new(cases: u32, fault: BoxedStrategy<Step>) -> Self {
        let bug = InjectedBug::None;
        Self { cases, vm_counts: VMS, prefix: &[], fault, tail_ms: 3_000, bug }
    }

    fn with_prefix(self, prefix: &'static [Step]) -> Self {
        Self { prefix, ..self }
    }

    fn with_vms(self, count: usize) -> Self {
        Self { vm_counts: count..=count, ..self }
    }

    fn with_tail(self, tail_ms: u64) -> Self {
        Self { tail_ms, ..self }
    }

    fn with_bug(self, bug: InjectedBug) -> Self {
        Self { bug, ..self }
    }

    /// Runs cases until one breaks a rule, and returns that with as few steps as possible.
    fn find(self) -> Result<(), String> {
        let config = ProptestConfig {
            max_shrink_iters: MAX_SHRINK_ITERS,
            failure_persistence: None,
            ..fuzz_config(self.cases)
        };
        let pass = (1..=60_u64).prop_map(|it| Step::Pass { ms: 100 * it });
        let steps = vec(prop_oneof![2 => pass, 3 => self.fault.clone()], 1..MAX_STEPS);
        let case = |(vm_count, steps): (usize, Vec<Step>)| self.run(vm_count, &steps);
        match TestRunner::new(config).run(&(self.vm_counts.clone(), steps), case) {
            Ok(()) => Ok(()),
            Err(TestError::Fail(reason, (vm_count, steps))) => {
                let steps = self.prefix.iter().chain(&steps);
                let steps: Vec<String> = steps.map(|it| format!("  {it:?}\n")).collect();
                Err(format!("{reason}\n{vm_count} VMs\n{}", steps.concat()))
            }
            Err(error) => Err(error.to_string()),
        }
    }

    fn run(&self, vm_count: usize, steps: &[Step]) -> Result<(), TestCaseError> {
        let mut deployment = Deployment::start(vm_count, self.bug);
        for &step in self.prefix.iter().chain(steps) {
            deployment.run(step);
        }
        deployment.run(Step::Pass { ms: self.tail_ms });
        match deployment.violation {
            Some(violation) => Err(TestCaseError::fail(violation)),
            None => Ok(()),
        }
    }

    fn assert_at_most_one_holder(self) {
        if let Err(found) = self.find() {
            panic!("{found}");
        }
    }
}

#[test]
fn all_keys_are_held_without_faults() {
    for vm_count in VMS {
        let mut deployment = Deployment::start(vm_count, InjectedBug::None);
        assert_eq!(deployment.held_count(), SAMPLE_KEYS.len(), "{vm_count} VMs");
        deployment.run(Step::Pass { ms: 6_000 });
        assert_eq!(deployment.held_count(), SAMPLE_KEYS.len(), "{vm_count} VMs");
        assert_eq!(deployment.violation, None);
    }
}

#[test]
fn late_heartbeats_leave_at_most_one_holder() {
    Plan::new(CASES, heartbeats()).assert_at_most_one_holder();
}

#[test]
fn closed_listeners_leave_at_most_one_holder() {
    Plan::new(CASES, connections()).assert_at_most_one_holder();
}

#[test]
fn restarts_of_nodes_leave_at_most_one_holder() {
    Plan::new(CASES, restarts()).assert_at_most_one_holder();
}

#[test]
fn restarts_after_grants_leave_at_most_one_holder() {
    let plan = Plan::new(2 * CASES, restarts_of_second());
    plan.with_prefix(&KEYS_OF_NEW_TARGET_LEAVE).assert_at_most_one_holder();
}

#[test]
fn outages_leave_at_most_one_holder() {
    Plan::new(CASES, outages()).with_tail(16_000).assert_at_most_one_holder();
}

#[test]
fn repeated_cuts_leave_at_most_one_holder() {
    Plan::new(CASES, cuts()).assert_at_most_one_holder();
}

#[test]
fn departures_that_were_taken_back_leave_at_most_one_holder() {
    let plan = Plan::new(CASES, cuts()).with_vms(3).with_prefix(&PLANNER_MISSES_RETURN);
    plan.with_tail(6_000).assert_at_most_one_holder();
}

/// The third node has seen the first departure of the keys of the first target, and returns after the
/// second one.
#[test]
fn a_node_back_from_a_cut_does_not_complete_a_later_departure() {
    let mut deployment = Deployment::start(3, InjectedBug::None);
    for step in [
        Step::CutNode { vm: 0, ms: 12_801 },
        Step::Pass { ms: 5_700 },
        Step::CutNode { vm: 1, ms: 9_801 },
        Step::CutNode { vm: 2, ms: 10_351 },
        Step::Pass { ms: 8_600 },
        Step::SuspendVm { vm: 0, ms: 3_600 },
        Step::Pass { ms: 3_000 },
    ] {
        deployment.run(step);
    }
    assert_eq!(deployment.violation, None);
}

#[test]
fn faults_of_all_kinds_leave_at_most_one_holder() {
    Plan::new(CASES, all()).assert_at_most_one_holder();
}

#[test]
fn leases_that_are_too_long_are_found() {
    let plan = Plan::new(2 * CASES, cuts()).with_tail(16_000).with_bug(InjectedBug::LongerLeases);
    let found = plan.find().expect_err("the bug is found");
    assert!(found.contains("as well as"), "{found}");
}

#[test]
fn constant_fencing_tokens_are_found() {
    let plan = Plan::new(CASES, connections()).with_bug(InjectedBug::ConstantFences);
    let found = plan.find().expect_err("the bug is found");
    assert!(found.contains("no higher fence"), "{found}");
}
