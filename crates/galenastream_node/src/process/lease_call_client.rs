//! Sends calls that change the leases of the local target.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use galenastream_adapter::{LeaseCall, LeaseCallAnswer};
use galenastream_ranges::{CallOutcome, LeaseOrder, PlannedCall, TargetIncarnation};
use galenastream_runtime::{
    BodyBuffer, ConnectionCount, ExchangeError, HttpConnection, WholeResponse, boot_now,
};
use galenastream_utils::BootInstant;
use http::Request;
use http_body_util::Full;
use metrics::counter;
use tokio::time::timeout;

use super::CallBasis;
use super::lease_calls::{GRANT_TIMEOUT, RELEASE_TIMEOUT};
use super::ownership_log::millis;

/// Timeout for opening a connection; part of the timeout of a call. The target is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The longest accepted answer, which is empty as a rule.
const MAX_ANSWER_BYTES: usize = 4 * 1024;

/// Sends calls that change the leases of the local target, each on a connection of its own: an answer
/// names neither its call nor its target, so a late copy of one could be taken for the answer to the
/// next call on the same connection.
#[derive(Debug)]
pub(super) struct LeaseCallClient {
    address: SocketAddr,
    count: ConnectionCount,
}

impl LeaseCallClient {
    /// Creates a client. Its open connections are counted with `count`.
    pub(super) const fn new(address: SocketAddr, count: ConnectionCount) -> Self {
        Self { address, count }
    }

    /// Sends a call that was planned at `planned_at`, and returns how it ended. A call without an
    /// answer has been closed before this returns.
    pub(super) async fn call(
        &self,
        target: &TargetIncarnation,
        call: &PlannedCall,
        basis: &CallBasis,
        planned_at: BootInstant,
    ) -> CallOutcome {
        let limit = match call.order {
            LeaseOrder::Grant { .. } => GRANT_TIMEOUT,
            LeaseOrder::Release { .. } => RELEASE_TIMEOUT,
        };
        let (outcome, reason) = match self.request(target, call) {
            Err(error) => (CallOutcome::NotSent, error.to_string()),
            Ok(request) => self.send(request, planned_at, limit).await,
        };
        log_end(target, call, basis, (&outcome, &reason), planned_at);
        outcome
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        planned_at: BootInstant,
        limit: Duration,
    ) -> (CallOutcome, String) {
        counter!("galenastream_target_connections_total").increment(1);
        let connecting =
            HttpConnection::connect_counted(self.address, CONNECT_TIMEOUT, &self.count);
        let mut connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => return (CallOutcome::NotSent, error.to_string()),
        };
        // The process may have been suspended. The lease was planned for an earlier arrival.
        if boot_now() >= planned_at + CONNECT_TIMEOUT {
            return (CallOutcome::NotSent, "planned too long ago".to_owned());
        }
        let exchange = connection.exchange(request, BodyBuffer::new(MAX_ANSWER_BYTES));
        match timeout(limit.saturating_sub(CONNECT_TIMEOUT), exchange).await {
            Ok(result) => outcome_of(result),
            Err(_) => (CallOutcome::NoAnswer, "timed out".to_owned()),
        }
    }

    fn request(
        &self,
        target: &TargetIncarnation,
        call: &PlannedCall,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let call = match &call.order {
            LeaseOrder::Grant { range, fence, handover, lease } => LeaseCall::Grant {
                first: range.first,
                last: range.last,
                fence: *fence,
                lease_ms: millis(*lease),
                handover: handover.clone(),
            },
            LeaseOrder::Release { range, fence } => {
                LeaseCall::Release { first: range.first, last: range.last, fence: *fence }
            }
        };
        call.to_request(self.address, &target.id)
    }
}

fn outcome_of(result: Result<WholeResponse, ExchangeError>) -> (CallOutcome, String) {
    let response = match result {
        Ok(response) => response,
        Err(ExchangeError::NotSent { reason }) => return (CallOutcome::NotSent, reason),
        Err(ExchangeError::Unknown { reason }) => return (CallOutcome::NoAnswer, reason),
        Err(ExchangeError::TooLong { bytes }) => {
            return (CallOutcome::NoAnswer, format!("an answer of {bytes} bytes"));
        }
    };
    match LeaseCallAnswer::decode(response.parts.status, &response.parts.headers) {
        LeaseCallAnswer::Done { handover } => (CallOutcome::Done { handover }, String::new()),
        LeaseCallAnswer::HigherFenceSeen => (CallOutcome::HigherFenceSeen, String::new()),
        LeaseCallAnswer::OtherTarget => (CallOutcome::Refused, "another target".to_owned()),
        LeaseCallAnswer::Refused { status } => (CallOutcome::Refused, format!("status {status}")),
    }
}

fn log_end(
    target: &TargetIncarnation,
    call: &PlannedCall,
    basis: &CallBasis,
    (outcome, reason): (&CallOutcome, &str),
    planned_at: BootInstant,
) {
    let (range, fence) = (call.order.range(), call.order.fence());
    let (kind, lease_ms) = (call.order.kind(), millis(call.order.lease()));
    log::info!(
        event = "lease_call_ended",
        kind,
        service = &*basis.service,
        target:%,
        range:%,
        fence,
        lease_ms,
        call = call.id.0,
        row_version = basis.row_version,
        confirmed_age_ms = basis.confirmed_age_ms.unwrap_or(0),
        outcome = outcome.as_str(),
        reason,
        elapsed_ms = millis(boot_now().saturating_since(planned_at));
        ""
    );
}
