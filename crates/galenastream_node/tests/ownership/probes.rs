//! Probes of the addresses of targets.

use galenastream_node::{ControlEvent, ProbeAnswer, TargetHealth, TargetProbe};
use galenastream_ranges::TargetIncarnation;
use rand::RngExt;

use crate::{injected_bug::InjectedBug, simulation::Simulation};

/// The delay between the two connections of a probe.
const PROBE_INTERVAL_MS: u64 = 30;
/// The longest time that the answer to a health check takes.
const IDENTITY_DELAY_MS: u64 = 300;

/// A probe of a process of a node.
pub struct Probe {
    vm: usize,
    process: u64,
    target: TargetIncarnation,
    began_at_ms: u64,
    second_at_ms: u64,
    ends_at_ms: u64,
    /// What the node will report; `None` until then.
    answer: Option<ProbeAnswer>,
    kind: ProbeKind,
}

enum ProbeKind {
    /// Two connections that have to be refused.
    Connections,
    /// A health check.
    Identity,
}

impl Simulation {
    /// Starts to connect to the address of a target, as far as the run plays that.
    pub fn start_probe(&mut self, index: usize, target: TargetIncarnation) {
        let is_refused = !self.vms[index].target.is_listening(self.now_ms);
        if !self.is_varied() || !is_refused {
            return;
        }
        let second_at_ms = self.now_ms + PROBE_INTERVAL_MS;
        let ends_at_ms = second_at_ms + self.varied_rng.random_range(0..=PROBE_INTERVAL_MS);
        self.push_probe(index, target, second_at_ms, ends_at_ms, ProbeKind::Connections);
    }

    /// Sends a health check that a running target answers at once.
    pub fn check_health(&mut self, index: usize) {
        let target = &self.vms[index].target;
        if target.is_listening(self.now_ms) {
            let (target_id, health) = (target.id.clone(), TargetHealth::Ready);
            self.send_event(index, ControlEvent::HealthChecked { target_id, health });
        }
    }

    /// Sends a health check, which is answered with the id of the running target, even if delayed
    /// heartbeats of an earlier one are outstanding.
    pub fn identify(&mut self, index: usize, target: TargetIncarnation) {
        if self.is_varied() {
            let second_at_ms = self.now_ms + self.varied_rng.random_range(0..IDENTITY_DELAY_MS);
            let ends_at_ms = second_at_ms + self.varied_rng.random_range(0..IDENTITY_DELAY_MS);
            return self.push_probe(index, target, second_at_ms, ends_at_ms, ProbeKind::Identity);
        }
        let running = &self.vms[index].target;
        if self.now_ms < running.starts_at_ms {
            return;
        }
        let probe = TargetProbe {
            target,
            began_at: self.vms[index].at(self.now_ms),
            answer: ProbeAnswer::Identified { target_id: running.id.clone() },
            open_connections: 0,
        };
        self.send_event(index, ControlEvent::TargetProbed(probe));
    }

    fn push_probe(
        &mut self,
        vm: usize,
        target: TargetIncarnation,
        second_at_ms: u64,
        ends_at_ms: u64,
        kind: ProbeKind,
    ) {
        let process = self.vms[vm].process;
        let began_at_ms = self.now_ms;
        let answer = None;
        self.probes.push(Probe {
            vm,
            process,
            target,
            began_at_ms,
            second_at_ms,
            ends_at_ms,
            answer,
            kind,
        });
    }

    /// Advances the probes of a running node.
    pub fn step_probes(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for mut probe in std::mem::take(&mut self.probes) {
            if probe.vm != index || now_ms < probe.second_at_ms {
                self.probes.push(probe);
                continue;
            }
            let vm = &self.vms[index];
            if probe.process != vm.process {
                continue;
            }
            if probe.answer.is_none() {
                let is_listening = vm.target.is_listening(now_ms);
                let answer = match probe.kind {
                    ProbeKind::Connections => ProbeAnswer::Refused,
                    ProbeKind::Identity => {
                        ProbeAnswer::Identified { target_id: vm.target.id.clone() }
                    }
                };
                let is_identity = matches!(probe.kind, ProbeKind::Identity);
                if is_listening != is_identity {
                    continue;
                }
                probe.answer = Some(answer);
            }
            if now_ms < probe.ends_at_ms {
                self.probes.push(probe);
                continue;
            }
            let Some(answer) = probe.answer else {
                continue;
            };
            let open_connections = match self.bug {
                InjectedBug::UncountedConnections => 0,
                _ => vm.target.open_connections(now_ms) + self.open_calls(index),
            };
            let probe = TargetProbe {
                target: probe.target,
                began_at: vm.at(probe.began_at_ms),
                answer,
                open_connections,
            };
            self.send_event(index, ControlEvent::TargetProbed(probe));
        }
    }
}
