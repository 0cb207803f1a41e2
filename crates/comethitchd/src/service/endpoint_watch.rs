//! Keeps the endpoint list up to date in two independent ways: a watch of changes, restarted whenever a line of it is
//! overdue ([`follow`]), and polls of the complete list while no watch sends anything ([`poll_while_silent`]).
//!
//! Rules count a change as known some seconds after discovery had it, whether or not it came here. So whatever happens
//! to a watch (it may fall silent, never connect, be reset, or send fragments without end), the list held is never
//! older than `SILENT_WATCH` and one poll.

use crate::service::discovery_client::{DiscoveryError, DiscoveryResponse, next_response_timeout, within};
use crate::stages::updates;
use crate::state::clock::after;
use crate::state::router_state::RouterState;
use crate::state::step_times::EventLoopStep;
use crate::wire::discovery::{self, EndpointList};
use crate::wire::json_stream::JsonStreamItem;
use async_io::Timer;
use comethitch_policy::Lifecycle;
use futures_lite::FutureExt;
use log::Level;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// While nothing changes, discovery sends an empty line at this interval.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A watch whose next complete line is late by a quarter of that is restarted. Only a line's end counts: fragments of
/// one may come without end.
const WATCH_TIMEOUT: Duration = Duration::from_millis(KEEP_ALIVE_INTERVAL.as_millis() as u64 * 5 / 4);
/// The wait before a watch that ended is restarted.
const RESTART_WAIT: Duration = Duration::from_millis(250);
/// Once no watch has sent anything for so long, the complete list is polled.
const SILENT_WATCH: Duration = Duration::from_millis(KEEP_ALIVE_INTERVAL.as_millis() as u64 * 3 / 2);
/// The wait between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Of a list with more entries than this the log tells only how many there are.
const MAX_ENTRIES_LOGGED: usize = 32;
/// The path of the complete list.
const LIST_PATH: &str = "/api/targets";

/// Follows the changes of the endpoint list for ever.
pub async fn follow(state: Rc<RouterState>) {
    let mut logged = false;
    loop {
        let service = state.discovery.service();
        let version = state.hosts.directory().version();
        // Polled before the watch, so that nothing counts any more that a replaced service sends.
        let replaced = async {
            service.replaced.wait().await;
            Err(DiscoveryError::Replaced)
        };
        match replaced.or(watch_or_fetch(&state, service.address, version)).await {
            Ok(()) => logged = false,
            // Logged once, as discovery may be down for long.
            Err(error) if !logged => {
                let address = service.address;
                log::warn!("discovery {address}: {error}; keeping the list, retrying from {version:?}");
                logged = true;
            }
            Err(_) => {}
        }
        // A list that was just fetched is watched at once.
        let fetched = version.is_none() && state.hosts.directory().version().is_some();
        let wait = if fetched { Duration::ZERO } else { RESTART_WAIT };
        after(wait, ()).or(service.replaced.wait()).await;
    }
}

/// Watches what changes after the version held; without one, fetches the complete list.
async fn watch_or_fetch(
    state: &Rc<RouterState>, address: SocketAddr, version: Option<u64>,
) -> Result<(), DiscoveryError> {
    if let Some(version) = version {
        return watch(state, address, version).await;
    }
    fetch_list(state, address).await?;
    state.discovery.record_watch_event(state.clock.now());
    Ok(())
}

/// Polls the complete list while no watch sends anything, for ever.
pub async fn poll_while_silent(state: Rc<RouterState>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        let silence = state.discovery.watch_silence(state.clock.now());
        // Without a list, `follow` fetches the complete one already.
        if state.hosts.directory().version().is_none() || silence.to_std() < SILENT_WATCH {
            continue;
        }
        let service = state.discovery.service();
        let replaced = async {
            service.replaced.wait().await;
            Ok(())
        };
        let address = service.address;
        match replaced.or(fetch_list(&state, address)).await {
            Ok(()) => log::debug!("the watch is silent: the complete list was polled"),
            Err(error) => log::debug!("discovery {address}: polling the complete list failed: {error}"),
        }
    }
}

/// One watch, up to its end.
async fn watch(state: &Rc<RouterState>, address: SocketAddr, since: u64) -> Result<(), DiscoveryError> {
    let path = format!("{LIST_PATH}?follow=1&since={since}");
    let mut response =
        DiscoveryResponse::request(address, &path, state.discovery.response_timeout(), &state.memory).await?;
    while let Some(item) = within(WATCH_TIMEOUT, DiscoveryError::WatchSilent, response.next_item()).await? {
        state.discovery.record_watch_event(state.clock.now());
        if let JsonStreamItem::Object(text) = item {
            let version = state.hosts.directory().version();
            apply(state, &text, version)?;
        }
    }
    Ok(())
}

/// Fetches the complete list, which counts only if all of it came.
async fn fetch_list(state: &Rc<RouterState>, address: SocketAddr) -> Result<(), DiscoveryError> {
    let version_before = state.hosts.directory().version();
    let timeout = state.discovery.response_timeout();
    let started = Instant::now();
    let fetch = async {
        let mut response = DiscoveryResponse::request(address, LIST_PATH, timeout, &state.memory).await?;
        let mut text = None;
        while let Some(item) = response.next_item().await? {
            if let JsonStreamItem::Object(object) = item {
                text = Some(object);
            }
        }
        text.ok_or(DiscoveryError::NoList)
    };
    let fetched = within(timeout, DiscoveryError::BodyTimeout, fetch).await;
    let took = fetched.is_ok().then(|| started.elapsed());
    let is_late = matches!(&fetched, Err(DiscoveryError::HeadTimeout | DiscoveryError::BodyTimeout));
    if took.is_some() || is_late {
        state.discovery.set_response_timeout(next_response_timeout(timeout, took));
    }
    let text = fetched?;
    if version_before.is_some() && discovery::version_of_complete_list(&text) == version_before {
        log::debug!("list {version_before:?} is the one held");
        return Ok(());
    }
    apply(state, &text, version_before)
}

/// Applies a list or an update. `version_before` is the version held as it was requested: one that is older than what
/// another response has brought since then is out of date.
fn apply(state: &Rc<RouterState>, text: &[u8], version_before: Option<u64>) -> Result<(), DiscoveryError> {
    let parse = || discovery::parse_endpoint_list(text, &state.config.zone_names);
    let list = state.metrics.steps.measure(EventLoopStep::ParseList, parse)?;
    let version = state.hosts.directory().version();
    let may_be_outdated = version != version_before || !list.complete;
    if may_be_outdated && version.is_some_and(|version| list.seq < version) {
        log::debug!("list {} is older than the one held, {version:?}", list.seq);
        return Ok(());
    }
    state.metrics.steps.measure(EventLoopStep::ApplyList, || log_list(&list));
    updates::apply_endpoint_list(state, &list);
    state.discovery.set_ready();
    Ok(())
}

/// Logs a list, entry by entry if it is short: a line costs as much as applying an entry several times.
fn log_list(list: &EndpointList) {
    if list.entries.len() > MAX_ENTRIES_LOGGED {
        let count =
            |lifecycle| list.entries.iter().filter(|entry| entry.endpoint.lifecycle == lifecycle).count();
        log::info!(
            "list {}: {} entries, {} ready, {} draining, {} removed",
            list.seq,
            list.entries.len(),
            count(Lifecycle::Ready),
            count(Lifecycle::Draining),
            count(Lifecycle::Removed)
        );
    }
    let level = if list.entries.len() > MAX_ENTRIES_LOGGED { Level::Debug } else { Level::Info };
    for entry in &list.entries {
        let endpoint = &entry.endpoint;
        let primary = if endpoint.is_primary { ", primary" } else { "" };
        log::log!(
            level,
            "list {}: {} at {} is {:?}{primary}, group {}",
            list.seq,
            entry.name,
            entry.dial,
            endpoint.lifecycle,
            endpoint.shard_id
        );
    }
}
