//! A target, listening.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::task::JoinHandle;

use super::{
    TargetConfig, TargetEvent, TargetFaults, announcer::Announcer, service::TargetService,
    state::TargetState,
};
use crate::{HttpServer, listen};

const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// A target, listening. All its state is lost when the process ends.
#[derive(Debug)]
pub struct TargetStandin {
    server: HttpServer,
    state: Arc<TargetState>,
    tasks: Vec<JoinHandle<()>>,
}

impl TargetStandin {
    /// Starts a target.
    pub async fn start(config: TargetConfig) -> anyhow::Result<Self> {
        let node = config.node;
        let state = Arc::new(TargetState::new(config));
        // The announcement names the address, which is known only once the server listens.
        let listener = listen(state.config.address).await?;
        let address = listener.local_addr()?;
        let announcer = match node {
            Some(node) => Some(Arc::new(Announcer::new(Arc::clone(&state), address, node)?)),
            None => None,
        };
        let service = TargetService { state: Arc::clone(&state), announcer: announcer.clone() };
        let server = HttpServer::start_on(listener, service)?;
        let mut tasks = vec![tokio::spawn(sample_load(Arc::clone(&state)))];
        if let Some(announcer) = announcer {
            tasks.push(tokio::spawn(async move { announcer.run().await }));
        }
        Ok(Self { server, state, tasks })
    }

    /// Where the target listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the target's faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.state.faults.set(faults);
    }

    /// The events so far, if the target keeps them in memory.
    pub fn events(&self) -> Vec<TargetEvent> {
        self.state.events.kept()
    }

    /// Stops the target.
    pub fn close(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.server.close();
    }
}

async fn sample_load(state: Arc<TargetState>) {
    let mut ticks = tokio::time::interval(LOAD_SAMPLE_INTERVAL);
    loop {
        ticks.tick().await;
        state.record_load();
    }
}
