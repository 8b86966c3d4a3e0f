//! The resources that a node uses, sampled from outside.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use galenastream_standin::{LocalVm, ResourceLimits};
use galenastream_utils::FastSet;

use super::{FILE_DESCRIPTORS, WORKS};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(30);

/// Samples the memory and the sockets of a node until it is dropped.
pub(super) struct NodeWatch {
    process: u32,
    limits: ResourceLimits,
    peaks: Arc<Mutex<Peaks>>,
    is_over: Arc<AtomicBool>,
    sampler: Option<JoinHandle<()>>,
}

/// The most that a node has used at once.
#[derive(Debug, Clone, Copy, Default)]
struct Peaks {
    /// Its memory, with what the kernel keeps for its connections.
    memory_kb: u64,
    /// What it has received and not read.
    unread_kb: u64,
    /// What it has written, and its callers have no room for.
    unsent_kb: u64,
    sockets: u64,
}

impl NodeWatch {
    pub(super) fn start(vm: &LocalVm, target: SocketAddr, limits: ResourceLimits) -> Self {
        let process = vm.node().expect(WORKS).id();
        let (peaks, is_over) =
            (Arc::new(Mutex::new(Peaks::default())), Arc::<AtomicBool>::default());
        let (ip, sampled, ends) = (vm.ip, peaks.clone(), is_over.clone());
        let sampler = thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let sample = Peaks::sample(process, ip, target);
                sampled.lock().unwrap_or_else(PoisonError::into_inner).add(sample);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { process, limits, peaks, is_over, sampler: Some(sampler) }
    }

    /// Checks that the node lives and has not exceeded its limits.
    pub(super) fn assert_within_limits(&self, name: &str) {
        let peaks = *self.peaks.lock().unwrap_or_else(PoisonError::into_inner);
        let peak_kb = memory_kb(self.process, "VmHWM:").max(peaks.memory_kb);
        println!("{name}: {peak_kb} kB at most, {peaks:?}");
        assert!(peak_kb > 0, "{name}: the node lives");
        let limit_kb = self.limits.memory_mb * 1_024;
        assert!(peak_kb < limit_kb, "{name}: {peak_kb} kB of {limit_kb} kB, {peaks:?}");
        let max_sockets = self.limits.max_file_descriptors - FILE_DESCRIPTORS;
        assert!(peaks.sockets <= max_sockets, "{name}: {peaks:?}, {max_sockets} sockets allowed");
    }
}

impl Drop for NodeWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            // A sampler that panicked has failed the checks already.
            let _ = sampler.join();
        }
    }
}

impl Peaks {
    fn sample(process: u32, ip: IpAddr, target: SocketAddr) -> Self {
        let queues = kernel_queues(ip, target);
        let unread_kb = queues.unread_bytes / 1_024;
        let unsent_kb = queues.unsent_bytes / 1_024;
        Self {
            memory_kb: memory_kb(process, "VmRSS:") + unread_kb + unsent_kb,
            unread_kb,
            unsent_kb,
            sockets: socket_count(process),
        }
    }

    fn add(&mut self, sample: Self) {
        self.memory_kb = self.memory_kb.max(sample.memory_kb);
        self.unread_kb = self.unread_kb.max(sample.unread_kb);
        self.unsent_kb = self.unsent_kb.max(sample.unsent_kb);
        self.sockets = self.sockets.max(sample.sockets);
    }
}

/// A field of the status of a process; 0 once it has ended.
fn memory_kb(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix(field));
    line.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

fn socket_count(process: u32) -> u64 {
    let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return 0;
    };
    let is_socket = |it: &fs::DirEntry| {
        fs::read_link(it.path()).is_ok_and(|it| it.to_string_lossy().starts_with("socket:"))
    };
    entries.flatten().filter(is_socket).count() as u64
}

/// What the kernel keeps for the connections that a node has accepted.
#[derive(Default)]
struct KernelQueues {
    unread_bytes: u64,
    unsent_bytes: u64,
}

/// Sums the queues of all connections whose local address is that of the VM, but for those of its target.
fn kernel_queues(ip: IpAddr, target: SocketAddr) -> KernelQueues {
    let IpAddr::V4(ip) = ip else {
        panic!("the stand-ins have IPv4 addresses");
    };
    let local = format!("{:08X}", u32::from_le_bytes(ip.octets()));
    let target_port = format!("{:04X}", target.port());
    let mut queues = KernelQueues::default();
    let table = fs::read_to_string("/proc/net/tcp").expect(WORKS);
    // Connections that wait to be accepted are listed twice: once with the listener.
    let mut seen = FastSet::default();
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, address, remote, state, lengths, ..] = fields.as_slice() else {
            continue;
        };
        let is_of_node =
            address.split_once(':').is_some_and(|(ip, port)| ip == local && port != target_port);
        // Of a listener, the lengths count connections.
        if !is_of_node || *state == "0A" || !seen.insert((*address, *remote)) {
            continue;
        }
        let Some((unsent, unread)) = lengths.split_once(':') else {
            continue;
        };
        let parse = |it: &str| u64::from_str_radix(it, 16).unwrap_or(0);
        queues.unsent_bytes += parse(unsent);
        queues.unread_bytes += parse(unread);
    }
    queues
}
