//! Calls of nodes that grant keys to their targets and take them back.

use galenastream_adapter::LeaseDelivery;
use galenastream_node::ControlEvent;
use galenastream_ranges::{CallOutcome, LeaseOrder, PlannedCall, TargetIncarnation};
use rand::RngExt;

use crate::{
    fixtures::{config_event, config_with_delivery},
    injected_bug::InjectedBug,
    simulation::Simulation,
    variation::Variation,
};

/// When a node closes the connection of a grant that is not answered, and of a release.
const GRANT_TIMEOUT_MS: u64 = 700;
const RELEASE_TIMEOUT_MS: u64 = 7_000;
/// The longest time until a call arrives, and until its answer does.
const CALL_DELAY_MS: u64 = 30;
/// One call in so many is not answered and carried out late, while calls are late.
const LATE_CALL_PERIOD: u32 = 3;

/// A call of a process of a node to its target.
pub struct Call {
    vm: usize,
    process: u64,
    /// The target that was called, and its life.
    target: TargetIncarnation,
    life: u64,
    call: PlannedCall,
    sent_at_ms: u64,
    arrives_at_ms: u64,
    /// When the target carries the call out.
    applied_at_ms: u64,
    progress: Progress,
    /// Whether the process knows how the call ended.
    is_closed: bool,
    is_answered: bool,
}

enum Progress {
    /// The target has not carried it out.
    Waiting,
    /// The answer leaves the target at this time.
    Answering { at_ms: u64, outcome: CallOutcome },
}

impl Simulation {
    pub fn call_target(&mut self, index: usize, target: TargetIncarnation, call: PlannedCall) {
        let now_ms = self.now_ms;
        let arrives_at_ms = now_ms + self.varied_rng.random_range(0..CALL_DELAY_MS);
        let are_late = self.varies(Variation::LateCalls) && !self.are_faults_over;
        let is_late = are_late && self.varied_rng.random_range(0..LATE_CALL_PERIOD) == 0;
        let lateness_ms = if is_late { self.varied_rng.random_range(0..12_000) } else { 0 };
        let vm = &self.vms[index];
        self.calls.push(Call {
            vm: index,
            process: vm.process,
            life: vm.target.life,
            target,
            call,
            sent_at_ms: now_ms,
            arrives_at_ms,
            applied_at_ms: arrives_at_ms + lateness_ms,
            progress: Progress::Waiting,
            is_closed: false,
            is_answered: !is_late,
        });
    }

    /// Advances the calls of a node. They go on at the target when the node has ended.
    pub fn step_calls(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for mut call in std::mem::take(&mut self.calls) {
            if call.vm != index {
                self.calls.push(call);
                continue;
            }
            let vm = &self.vms[index];
            call.is_closed |= call.process != vm.process;
            // What has not arrived when the process ends never does.
            if call.is_closed && now_ms <= call.arrives_at_ms {
                continue;
            }
            let is_same = *call.target.id == *vm.target.id && call.life == vm.target.life;
            if now_ms < vm.target.starts_at_ms || !is_same {
                self.close_call(call, CallOutcome::NoAnswer);
                continue;
            }
            // A target that has closed its listener refuses a new connection.
            if now_ms <= call.arrives_at_ms && !vm.target.is_listening(now_ms) {
                self.close_call(call, CallOutcome::NotSent);
                continue;
            }
            if now_ms >= call.applied_at_ms && matches!(call.progress, Progress::Waiting) {
                call.progress = self.apply_call(index, &call);
            }
            let is_running = self.vms[index].is_running(now_ms);
            if let Progress::Answering { at_ms, outcome } = &call.progress
                && now_ms >= *at_ms
            {
                if call.is_closed || !call.is_answered {
                    if call.is_closed {
                        continue;
                    }
                } else if is_running {
                    let outcome = outcome.clone();
                    self.close_call(call, outcome);
                    continue;
                }
            }
            let limit_ms = match call.call.order {
                LeaseOrder::Grant { .. } => GRANT_TIMEOUT_MS,
                LeaseOrder::Release { .. } => RELEASE_TIMEOUT_MS,
            };
            if !call.is_closed && is_running && now_ms >= call.sent_at_ms + limit_ms {
                let outcome = match self.bug {
                    InjectedBug::ForgottenCalls => CallOutcome::NotSent,
                    _ => CallOutcome::NoAnswer,
                };
                self.notify_end(&call, outcome);
                call.is_closed = true;
            }
            self.calls.push(call);
        }
    }

    /// The number of connections on which the process of a node waits for its target.
    pub fn open_calls(&self, index: usize) -> usize {
        self.calls.iter().filter(|it| it.vm == index && !it.is_closed).count()
    }

    /// Ends a call, and tells its process if that waits for it.
    fn close_call(&mut self, call: Call, outcome: CallOutcome) {
        if call.is_closed {
            return;
        }
        if !self.vms[call.vm].is_running(self.now_ms) {
            self.calls.push(call);
            return;
        }
        self.notify_end(&call, outcome);
    }

    fn notify_end(&mut self, call: &Call, outcome: CallOutcome) {
        let event =
            ControlEvent::LeaseCallEnded { target: call.target.clone(), id: call.call.id, outcome };
        self.send_event(call.vm, event);
    }

    fn apply_call(&mut self, index: usize, call: &Call) -> Progress {
        let now_ms = self.now_ms;
        let answer_delay_ms = self.varied_rng.random_range(0..CALL_DELAY_MS);
        let release_delay_ms = self.draw_release_delay_ms();
        let target = &mut self.vms[index].target;
        match &call.call.order {
            LeaseOrder::Grant { range, fence, lease, .. } => {
                let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
                let lease_ms = match self.bug {
                    InjectedBug::LongerLeases => lease_ms * 3,
                    _ => lease_ms,
                };
                let is_accepted = target.grant(*range, *fence, call.arrives_at_ms, lease_ms);
                let outcome = match is_accepted {
                    true => CallOutcome::Done { handover: String::new() },
                    false => CallOutcome::HigherFenceSeen,
                };
                Progress::Answering { at_ms: now_ms + answer_delay_ms, outcome }
            }
            LeaseOrder::Release { range, .. } => {
                let ends_at_ms = target.release(*range, now_ms, release_delay_ms);
                let ends_at_ms = match self.bug {
                    InjectedBug::HandoverBeforeRelease => now_ms,
                    _ => ends_at_ms,
                };
                let outcome = CallOutcome::Done { handover: format!("h-{now_ms}") };
                Progress::Answering { at_ms: ends_at_ms + answer_delay_ms, outcome }
            }
        }
    }

    /// Changes the way in which targets learn of their leases.
    pub fn change_delivery(&mut self) {
        self.delivery = match self.delivery {
            LeaseDelivery::Calls => LeaseDelivery::Heartbeats,
            LeaseDelivery::Heartbeats | LeaseDelivery::Unknown(_) => LeaseDelivery::Calls,
        };
        self.config_version += 1;
        for index in 0..self.vms.len() {
            if self.vms[index].is_running(self.now_ms) {
                self.send_config(index);
            }
        }
    }

    pub fn send_config(&mut self, index: usize) {
        let config = config_with_delivery(self.config_version, &self.delivery);
        self.send_event(index, config_event(config));
    }
}
