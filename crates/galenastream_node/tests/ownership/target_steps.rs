//! Heartbeats between targets and their nodes.

use galenastream_node::{ControlEvent, HeartbeatAnswer};
use rand::RngExt;
use tokio::sync::oneshot;

use crate::{
    fixtures::HEARTBEAT_MS, injected_bug::apply_to_reply, simulation::Simulation,
    variation::Variation,
};

/// The longest time for which work on revoked keys goes on.
const LONG_WORK_MS: u64 = 6_000;
/// How late heartbeats may arrive.
const LATE_HEARTBEAT_MS: u64 = 8_000;
/// How late the heartbeats of a target may arrive that has closed its listener.
const STOPPING_HEARTBEAT_MS: u64 = 2_000;

impl Simulation {
    pub fn step_target(&mut self, index: usize) {
        self.end_stopped_target(index);
        let now_ms = self.now_ms;
        let release_delay_ms = self.draw_release_delay_ms();
        let bug = self.bug;
        let vm = &mut self.vms[index];
        vm.target.advance(now_ms);
        if vm.target.sent_at_ms.is_none() {
            vm.pending_reply = None;
        }
        let is_answering = vm.is_running(now_ms);
        if is_answering && let Some(reply) = &mut vm.pending_reply {
            match reply.try_recv() {
                Ok(HeartbeatAnswer::Reply(reply)) => {
                    vm.pending_reply = None;
                    vm.target.handle_reply(&apply_to_reply(reply, bug), now_ms, release_delay_ms);
                }
                Ok(HeartbeatAnswer::Refused { reason }) => panic!("refused: {reason}"),
                Err(_) => {}
            }
        }
        let Some(body) = vm.target.next_heartbeat(now_ms, HEARTBEAT_MS) else {
            return;
        };
        let (answer, reply) = oneshot::channel();
        vm.pending_reply = Some(reply);
        let target_id = vm.target.id.clone();
        let heartbeat = ControlEvent::Heartbeat { target_id, body: body.into(), answer };
        let lateness_ms = self.draw_lateness_ms(index);
        let vm = &mut self.vms[index];
        if lateness_ms > 0 {
            vm.late_heartbeats.push((now_ms + lateness_ms, heartbeat));
            return;
        }
        match is_answering {
            true => self.send_event(index, heartbeat),
            false if vm.state.is_some() => vm.delayed_heartbeats.push(heartbeat),
            false => {}
        }
    }

    /// For how long work on revoked keys goes on.
    pub fn draw_release_delay_ms(&mut self) -> u64 {
        let release_delay_ms = self.rng.random_range(0..150);
        if self.varies(Variation::LongWork) && self.varied_rng.random_range(0..2) == 0 {
            return self.varied_rng.random_range(0..LONG_WORK_MS);
        }
        release_delay_ms
    }

    fn draw_lateness_ms(&mut self, index: usize) -> u64 {
        let is_stopping = self.vms[index].target.stop.is_some();
        let is_late = self.variations.contains(&Variation::TimeOfDay) && !self.are_faults_over;
        let rng = &mut self.varied_rng;
        if is_stopping && rng.random_range(0..2) == 0 {
            return rng.random_range(1..STOPPING_HEARTBEAT_MS);
        }
        if is_late && rng.random_range(0..8) == 0 {
            return rng.random_range(1_000..LATE_HEARTBEAT_MS);
        }
        0
    }

    /// Lets a target send its next heartbeat at once, which arrives late.
    pub fn delay_next_heartbeat(&mut self, index: usize) {
        let lateness_ms = self.varied_rng.random_range(1_000..LATE_HEARTBEAT_MS);
        let vm = &mut self.vms[index];
        vm.target.sent_at_ms = None;
        vm.target.next_heartbeat_ms = self.now_ms;
        let Some(body) = vm.target.next_heartbeat(self.now_ms, HEARTBEAT_MS) else {
            return;
        };
        let target_id = vm.target.id.clone();
        let (answer, _) = oneshot::channel();
        let heartbeat = ControlEvent::Heartbeat { target_id, body: body.into(), answer };
        vm.late_heartbeats.push((self.now_ms + lateness_ms, heartbeat));
    }

    /// Ends a target whose stop is over, and starts another one later. Its requests end with the
    /// process of the node that sent them.
    fn end_stopped_target(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let Some(stop) = vm.target.stop else {
            return;
        };
        let has_lost_requests = !stop.sends_heartbeats && vm.state.is_none();
        if self.now_ms >= stop.ends_at_ms || has_lost_requests {
            let starts_at_ms = self.now_ms + self.varied_rng.random_range(0..2_000);
            vm.replace_target(index, starts_at_ms);
        }
    }

    pub fn deliver_late_heartbeats(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_due = |it: &mut (u64, ControlEvent)| it.0 <= now_ms;
        let due: Vec<_> = self.vms[index].late_heartbeats.extract_if(.., is_due).collect();
        for (_, heartbeat) in due {
            self.send_event(index, heartbeat);
        }
    }
}
