//! Starting routers: their configuration, and waiting until they serve clients.

use super::discovery;
use super::network::{Purpose, address, message_type, read_message, sleep};
use super::state::{LiveFleet, SharedFleet};
use crate::error::PlayError;
use crate::trial::Trial;
use async_io::Async;
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::AsyncWriteExt;
use rand::Rng;
use serde_json::{Value, json};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// The configuration that each router's is derived from.
const SAMPLE: &str = include_str!("../../../../deploy/configuration.json");
/// How often a router that starts is polled until it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// PostgreSQL's protocol version 3.0.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// The parameters of a startup message.
const STARTUP_PARAMETERS: &[u8] = b"user\0portal\0database\0crm\0\0";

/// A router's configuration.
fn configuration(fleet: &LiveFleet, router: usize) -> Value {
    let trial = &fleet.trial;
    let processes = fleet.processes.borrow();
    let discovery = address(router, Purpose::Discovery);
    let is_namesake = router < usize::from(trial.namesakes);
    let name = if is_namesake { "r0".into() } else { format!("r{router}") };
    let seed = if is_namesake { trial.seed } else { fleet.rng.borrow_mut().next_u64() };
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

/// Sets what the trial defines, and then the settings that the trial replaces.
fn apply_settings(settings: &mut Value, trial: &Trial) {
    let micros = |ms: u64| Value::from(ms * 1000);
    settings["siblings"] = trial.routers.into();
    settings["dcs"] = json!(["north"]);
    settings["classes"] = json!([
        {"name": "read", "effect": "repeatable", "target_us": micros(trial.target_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 1.0},
        {"name": "write", "effect": "once", "target_us": micros(trial.target_ms),
         "deadline_us": micros(trial.timeout_ms), "value": 2.0}
    ]);
    settings["domain"]["class_read"] = json!(["bounded", "write"]);
    settings["domain"]["oldest_data_us"] = json!([trial.bound_ms * 1000, 0]);
    settings["load_info"]["names"] = json!(["x0", "x1", "queue"]);
    settings["rules"] = json!({
        "drain_grace_us": micros(trial.drain_grace_ms), "cold_from": trial.cold_from,
        "warm_within_us": micros(trial.warm_within_ms), "fall_multiple": trial.fall_multiple,
        "fall_us": micros(trial.fall_ms)
    });
    for (key, value) in &trial.settings {
        settings[key] = value.clone();
    }
}

/// Starts a router, for the first time or again.
pub(super) fn start(fleet: &LiveFleet, router: usize) -> Result<(), PlayError> {
    // Faults overlap: another one may have started it again already.
    if fleet.processes.borrow().is_running(router) {
        return Ok(());
    }
    let configuration = configuration(fleet, router);
    let mut processes = fleet.processes.borrow_mut();
    processes
        .spawn(router, &configuration)
        .map_err(|source| PlayError::File { path: processes.daemon.clone(), source })
}

/// Opens a client's connection to a router, and waits until the router has accepted it.
pub(super) async fn connect(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let mut stream = Async::<TcpStream>::connect(address).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let body = [&PROTOCOL_VERSION.to_be_bytes()[..], STARTUP_PARAMETERS].concat();
    let length = (body.len() as u32 + 4).to_be_bytes();
    stream.write_all(&[&length[..], &body].concat()).await?;
    while read_message(&mut stream).await?.kind != message_type::READY_FOR_QUERY {}
    Ok(stream)
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
    let mut stream = connect(client_address).await?;
    stream.write_all(&message(message_type::QUERY, b"\0")).await?;
    Ok(read_message(&mut stream).await?.kind == message_type::EMPTY_QUERY_RESPONSE)
}
