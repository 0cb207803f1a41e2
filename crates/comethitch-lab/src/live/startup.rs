//! Configures and starts routers, and waits until they serve clients.

use super::discovery;
use super::network::{Purpose, address, connect_client, message_type, read_message, sleep};
use super::state::{LiveFleet, SharedFleet};
use crate::error::RunError;
use crate::trial::Trial;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::AsyncWriteExt;
use rand::Rng;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;

/// Sample configuration from which the configurations of the routers are derived.
const SAMPLE: &str = include_str!("../../../../deploy/configuration.json");
/// Interval at which a starting router is polled until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the configuration of a router.
fn configuration(fleet: &LiveFleet, router: usize) -> Value {
    let trial = &fleet.trial;
    let processes = fleet.processes.borrow();
    let discovery = address(router, Purpose::Discovery);
    let shares_name = router < usize::from(trial.routers_sharing_name);
    let name = if shares_name { "r0".into() } else { format!("r{router}") };
    let seed = if shares_name { trial.seed } else { fleet.rng.borrow_mut().next_u64() };
    let mut configuration: Value = serde_json::from_str(SAMPLE).expect("the sample is JSON");
    configuration["name"] = name.into();
    configuration["listen"] = processes.client_address(router).to_string().into();
    configuration["discovery"] = format!("{discovery}:{}", processes.discovery_port).into();
    configuration["seed"] = format!("{seed:016x}").into();
    configuration["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 1024});
    configuration["known"] = discovery::endpoint_list(fleet, router);
    apply_settings(&mut configuration["settings"], trial);
    configuration
}

/// Applies the values of the trial, and then the settings with which the trial overrides them.
fn apply_settings(settings: &mut Value, trial: &Trial) {
    let micros = |ms: u64| Value::from(ms * 1000);
    settings["siblings"] = trial.routers.into();
    settings["dcs"] = json!(["north"]);
    settings["classes"] = json!([
        {"name": "read", "effect": "repeatable", "target_us": micros(trial.latency_objective_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 1.0},
        {"name": "write", "effect": "once", "target_us": micros(trial.latency_objective_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 2.0}
    ]);
    settings["domain"]["class_read"] = json!(["bounded", "write"]);
    settings["domain"]["oldest_data_us"] = json!([trial.staleness_bound_ms * 1000, 0]);
    settings["load_info"]["names"] = json!(["x0", "x1", "queue"]);
    settings["rules"] = json!({
        "drain_grace_us": micros(trial.drain_grace_ms), "cold_from": trial.initial_capacity,
        "warm_within_us": micros(trial.warmup_ms), "fall_multiple": trial.overload_multiple,
        "fall_us": micros(trial.overload_window_ms)
    });
    for (key, value) in &trial.settings {
        settings[key] = value.clone();
    }
}

/// Starts a router that is not running.
pub(super) fn start_router(fleet: &LiveFleet, router: usize) -> Result<(), RunError> {
    // Faults may overlap: another one may have restarted the router already.
    if fleet.processes.borrow().is_running(router) {
        return Ok(());
    }
    let configuration = configuration(fleet, router);
    let mut processes = fleet.processes.borrow_mut();
    processes
        .spawn(router, &configuration)
        .map_err(|source| RunError::File { path: processes.daemon.clone(), source })
}

/// Waits until a router answers an empty query, and marks it as ready.
pub(super) async fn wait_until_ready(fleet: SharedFleet, router: usize) {
    let client_address = fleet.processes.borrow().client_address(router);
    let incarnation = fleet.processes.borrow().current(router);
    while fleet.processes.borrow().is_current(incarnation) {
        if answers_empty_query(client_address).await.unwrap_or(false) {
            fleet.processes.borrow_mut().mark_ready(incarnation);
            return;
        }
        sleep(READY_POLL_INTERVAL).await;
    }
}

async fn answers_empty_query(client_address: SocketAddr) -> io::Result<bool> {
    let mut stream = connect_client(client_address).await?;
    stream.write_all(&message(message_type::QUERY, b"\0")).await?;
    Ok(read_message(&mut stream).await?.kind == message_type::EMPTY_QUERY_RESPONSE)
}
