//! Roll-outs: calls to the store, and a log of each step.

use crate::SharedGateway;
use crate::state::Gateway;
use decision::{
    RolloutCommand, RolloutEvent, RolloutOrder, RolloutRecord, RolloutStatus, ServiceId,
};
use platform::documents;
use platform::rows::{Condition, Row, STATUS_TABLE, Transaction};
use platform::{StoreError, unpartitioned_put};
use serde_json::json;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which the versions are judged and due calls to the store are made.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Hubs that may lead a roll-out.
const CANDIDATES: usize = 3;

/// Starts the task that judges versions and leads roll-outs.
pub(crate) fn start(gateway: &SharedGateway) {
    if gateway.settings.borrow().bounds.rollout().is_none() {
        return;
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let mut logged = BTreeMap::new();
        loop {
            for command in poll(&gateway) {
                let gateway = gateway.clone();
                tokio::task::spawn_local(async move { execute(&gateway, command).await });
            }
            log_changes(&gateway, &mut logged);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
}

fn poll(gateway: &SharedGateway) -> Vec<RolloutCommand> {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    // An instance that does not serve yet may not know who leads.
    let may_lead = gateway.is_started();
    let position = |service: &ServiceId| {
        let key = documents::rollout_status_key(service);
        let is_chosen = |count: &usize| fleet.is_chosen_hub(now, &key, *count);
        let count = (1..=CANDIDATES).find(is_chosen)?;
        may_lead.then_some(count - 1)
    };
    let mut router = gateway.router.borrow_mut();
    router.rollouts().know_domains(now, fleet.domains(now));
    router.poll_rollouts(now, fleet.is_hub(now), position)
}

/// Applies an order that is in the store.
pub(crate) fn apply_order(gateway: &Gateway, order: RolloutOrder) {
    let fields = json!({
        "event": "rollout order", "service": order.service, "to": order.to,
        "limit_ms": order.duration.as_millis() as u64, "row": order.version,
    });
    let is_new = {
        let mut router = gateway.router.borrow_mut();
        router.order_rollout(gateway.now(), order)
    };
    let label = if is_new { "taken" } else { "ignored" };
    gateway.metrics.count("rollout_orders", label);
    gateway.event_log.state_change(&fields);
}

/// Records that an order was withdrawn.
pub(crate) fn withdraw_order(gateway: &Gateway, service: &ServiceId) {
    gateway.router.borrow_mut().rollouts().withdraw(service);
    gateway.metrics.count("rollout_orders", "withdrawn");
    gateway.event_log.state_change(&json!({
        "event": "rollout order withdrawn", "service": service,
    }));
}

async fn execute(gateway: &SharedGateway, command: RolloutCommand) {
    let (service, event) = match command {
        RolloutCommand::Read { service } => {
            let event = read(gateway, &service).await;
            (service, event)
        }
        RolloutCommand::Write {
            service,
            version,
            record,
        } => {
            let key = documents::rollout_status_key(&service);
            let value = documents::encode_rollout_status(&record);
            let transaction = Transaction {
                conditions: vec![Condition {
                    table: STATUS_TABLE.into(),
                    partition: SmolStr::default(),
                    key: key.clone(),
                    version,
                }],
                puts: vec![unpartitioned_put(STATUS_TABLE, &key, value)],
                ..Transaction::default()
            };
            let event = match gateway.store.transact(&transaction).await {
                Ok(version) => RolloutEvent::Written(version),
                // Another instance has written since: the row is read before the next
                // write.
                Err(StoreError::Conflict { .. }) => {
                    gateway.metrics.count("rollout_writes", "lost");
                    RolloutEvent::Failed
                }
                Err(e) => failed(gateway, &e),
            };
            (service, event)
        }
    };
    gateway.metrics.count("store_calls", STATUS_TABLE);
    let mut router = gateway.router.borrow_mut();
    router.rollouts().handle(gateway.now(), &service, event);
}

async fn read(gateway: &SharedGateway, service: &ServiceId) -> RolloutEvent {
    let key = documents::rollout_status_key(service);
    // A NUL byte makes the next key in byte order.
    let end = format!("{key}\0");
    let rows = match gateway.store.read_range(STATUS_TABLE, &key, &end).await {
        Ok(rows) => rows.rows,
        Err(e) => return failed(gateway, &e),
    };
    match rows.into_iter().find(|row| row.key == key) {
        Some(row) => RolloutEvent::Row(row.version, decode(gateway, &row)),
        None => RolloutEvent::Row(0, None),
    }
}

fn decode(gateway: &SharedGateway, row: &Row) -> Option<RolloutRecord> {
    let record = documents::decode_rollout_status(row);
    record
        .inspect_err(|e| gateway.record_unreadable(STATUS_TABLE, row, e))
        .ok()
}

fn failed(gateway: &SharedGateway, error: &StoreError) -> RolloutEvent {
    gateway.metrics.count("store_failures", STATUS_TABLE);
    log::debug!("failed to lead a roll-out: {error}");
    RolloutEvent::Failed
}

/// Logs the steps of the roll-outs since the last call.
fn log_changes(gateway: &SharedGateway, logged: &mut BTreeMap<ServiceId, RolloutStatus>) {
    let statuses = gateway.router.borrow_mut().rollouts().statuses();
    for status in statuses {
        let step = |s: &RolloutStatus| (s.to.clone(), s.phase, s.stage, s.term, s.is_stopped);
        let before = logged.get(&status.service).map(step);
        if before == Some(step(&status)) {
            continue;
        }
        if before.as_ref().is_none_or(|b| b.1 != status.phase)
            && let Some(phase) = status.phase
        {
            gateway.metrics.count("rollouts", phase.word());
        }
        if status.is_stopped && before.is_none_or(|b| !b.4) {
            gateway.metrics.count("rollouts", "stopped");
        }
        gateway.event_log.state_change(&json!({
            "event": "rollout", "service": status.service, "to": status.to,
            "phase": status.phase, "stage": status.stage, "term": status.term,
            "leader": status.leader, "stopped": status.is_stopped,
            "responses": status.responses, "bad": status.bad,
        }));
        logged.insert(status.service.clone(), status);
    }
}
