//! The course of one order.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use tokio::{
    sync::SemaphorePermit,
    time::{sleep, timeout},
};
use volo_http::response::Response;

use super::{
    TargetEvent, TargetEventKind, boot_now_ns, faults::OrderFault, order::Order, state::TargetState,
};
use crate::{half_reply, json_reply, reply};

/// How long an order without a deadline waits for a slot.
const LONGEST_WAIT_NS: u64 = 60_000_000_000;

/// When a shed caller is told to come back.
const RETRY_AFTER_MS: u64 = 20;

/// The answer to an order that ran.
#[derive(Debug, Serialize)]
struct OrderAnswer<'a> {
    target: &'a str,
    key: &'a str,
    request_id: &'a str,
    ticket: &'a str,
    counter: u64,
    padding: String,
}

/// Why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderRefusal {
    Overloaded,
    DeadlinePassed,
    OldEpoch,
}

/// The course of one order. Records a cancellation if it is dropped before it has ended.
#[derive(Debug)]
pub(crate) struct OrderRun {
    state: Arc<TargetState>,
    order: Order,
    started_boot_ns: u64,
    ended: bool,
}

impl OrderRun {
    pub(crate) fn new(state: Arc<TargetState>, order: Order) -> Self {
        Self { state, order, started_boot_ns: boot_now_ns(), ended: false }
    }

    /// Carries the order out, or refuses it.
    pub(crate) async fn finish(mut self) -> Response {
        let result = self.carry_out().await;
        self.ended = true;
        match result {
            Ok(response) => response,
            Err(refusal) => {
                self.record(TargetEventKind::Refused);
                refuse(refusal)
            }
        }
    }

    async fn carry_out(&mut self) -> Result<Response, OrderRefusal> {
        let state = Arc::clone(&self.state);
        state.faults.thaw().await;
        self.check()?;
        let _slot = self.wait_for_slot(&state).await?;
        state.faults.thaw().await;
        self.check()?;
        self.started_boot_ns = boot_now_ns();
        self.record(TargetEventKind::Taken);
        self.work().await;
        state.faults.thaw().await;
        self.check()?;
        Ok(self.commit().await)
    }

    fn check(&self) -> Result<(), OrderRefusal> {
        if self.order.is_late(boot_now_ns()) {
            return Err(OrderRefusal::DeadlinePassed);
        }
        if !self.state.config.checks_grants || self.state.faults.current().ignore_grants {
            return Ok(());
        }
        match (self.order.slice, self.order.epoch) {
            (Some(slice), Some(epoch)) if !self.state.grants.accepts(slice, epoch) => {
                Err(OrderRefusal::OldEpoch)
            }
            _ => Ok(()),
        }
    }

    async fn wait_for_slot<'a>(
        &self,
        state: &'a TargetState,
    ) -> Result<SemaphorePermit<'a>, OrderRefusal> {
        if let Ok(slot) = state.slots.try_acquire() {
            return Ok(slot);
        }
        let _place = QueuePlace::take(state)?;
        let wait_ns = match self.order.deadline_boot_ns {
            Some(deadline) => deadline.saturating_sub(boot_now_ns()),
            None => LONGEST_WAIT_NS,
        };
        match timeout(Duration::from_nanos(wait_ns), state.slots.acquire()).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) => Err(OrderRefusal::Overloaded),
            Err(_) => Err(OrderRefusal::DeadlinePassed),
        }
    }

    async fn work(&self) {
        let service_ms = self.state.service_ms(&self.order.class);
        if service_ms > 0.0 {
            sleep(Duration::from_secs_f64(service_ms / 1_000.0)).await;
        }
    }

    async fn commit(&mut self) -> Response {
        let fault = self.state.faults.next_order_fault();
        let counter = self.state.count(&self.order.key, self.order.changes_state());
        self.record(TargetEventKind::Committed);
        self.ended = true;
        let answer_delay_ms = self.state.faults.current().answer_delay_ms;
        if answer_delay_ms > 0 {
            sleep(Duration::from_millis(answer_delay_ms)).await;
        }
        let response = self.answer(counter);
        match fault {
            OrderFault::None => response,
            OrderFault::HalfAnswer => half_reply(response),
            OrderFault::DropAnswer => std::future::pending().await,
        }
    }

    fn answer(&self, counter: u64) -> Response {
        let answer = OrderAnswer {
            target: &self.state.config.name,
            key: &self.order.key,
            request_id: &self.order.request_id,
            ticket: &self.order.ticket,
            counter,
            padding: "x".repeat(self.order.padding_bytes),
        };
        json_reply(StatusCode::OK, &answer)
    }

    fn record(&self, event: TargetEventKind) {
        let order = &self.order;
        self.state.events.record(TargetEvent {
            event,
            target: self.state.config.name.clone(),
            key: order.key.clone(),
            ticket: order.ticket.clone(),
            slice: order.slice,
            epoch: order.epoch,
            term: order.term,
            request_id: order.request_id.clone(),
            method: order.method.to_string(),
            started_boot_ns: self.started_boot_ns,
            boot_ns: boot_now_ns(),
        });
    }
}

impl Drop for OrderRun {
    fn drop(&mut self) {
        if !self.ended {
            self.record(TargetEventKind::Cancelled);
        }
    }
}

/// A place among the orders that wait for a slot.
struct QueuePlace<'a> {
    state: &'a TargetState,
}

impl<'a> QueuePlace<'a> {
    fn take(state: &'a TargetState) -> Result<Self, OrderRefusal> {
        let place = Self { state };
        let waiting = state.queued.fetch_add(1, Ordering::Relaxed);
        if waiting >= state.config.backlog {
            return Err(OrderRefusal::Overloaded);
        }
        Ok(place)
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.state.queued.fetch_sub(1, Ordering::Relaxed);
    }
}

fn refuse(refusal: OrderRefusal) -> Response {
    let (status, reason) = match refusal {
        OrderRefusal::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        OrderRefusal::DeadlinePassed => (StatusCode::SERVICE_UNAVAILABLE, "deadline passed"),
        OrderRefusal::OldEpoch => (StatusCode::CONFLICT, "old epoch"),
    };
    let mut response = reply(status, "text/plain", Bytes::from_static(reason.as_bytes()));
    let headers = response.headers_mut();
    headers.insert("galenastream-outcome", HeaderValue::from_static("not-run"));
    headers.insert("galenastream-retry-after-ms", HeaderValue::from(RETRY_AFTER_MS));
    response
}
