//! Processor time of the processes of a deployment.

use galenastream_standin::LocalDeployment;

/// The unit of the times in `/proc`, a hundredth of a second.
const TICK_US: u64 = 10_000;

/// Processor time that the processes of a deployment have used since their starts.
#[derive(Debug, Clone, Copy)]
pub struct ProcessorTime {
    /// Of all nodes.
    pub nodes_us: u64,
    /// Of all targets.
    pub targets_us: u64,
}

impl ProcessorTime {
    /// Reads the times.
    pub fn read(deployment: &LocalDeployment) -> anyhow::Result<Self> {
        let mut time = Self { nodes_us: 0, targets_us: 0 };
        for vm in &deployment.vms {
            time.nodes_us += process_us(vm.node.id())?;
            time.targets_us += process_us(vm.target.id())?;
        }
        Ok(time)
    }

    /// What was used since `earlier`, for each of so many requests.
    pub fn per_request_since(self, earlier: Self, requests: u64) -> Self {
        Self {
            nodes_us: (self.nodes_us - earlier.nodes_us) / requests.max(1),
            targets_us: (self.targets_us - earlier.targets_us) / requests.max(1),
        }
    }
}

fn process_us(id: u32) -> anyhow::Result<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let mut ticks = 0;
    for field in after_name.split_whitespace().skip(11).take(2) {
        ticks += field.parse::<u64>()?;
    }
    Ok(ticks * TICK_US)
}
