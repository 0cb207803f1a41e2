//! Keeps the endpoint list up to date in two independent ways: [`follow`] watches for changes and restarts a
//! watch that sends nothing for too long, and [`poll_while_silent`] polls the complete list while no watch
//! sends anything.
//!
//! A router must learn of a change within a few seconds, even if watches hang, can't connect, are reset or
//! send fragments without end: the rules then treat the change as known, whether or not it was received. As
//! long as polls succeed, the list is never older than `SILENT_WATCH_THRESHOLD` plus the time until the next
//! poll completes.

use crate::service::discovery_client::{
    DiscoveryError, DiscoveryResponse, next_response_timeout, with_timeout,
};
use crate::service::endpoint_update;
use crate::state::clock::after;
use crate::state::message_allowance::{MessageAllowance, MessageLimit};
use crate::state::router_state::RouterState;
use crate::wire::discovery;
use crate::wire::json_stream::JsonStreamItem;
use async_io::Timer;
use comethitch_policy::time::Timestamp;
use futures_lite::FutureExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval at which the discovery service sends an empty line while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a watch waits for the next complete line: 1.25 times the keep-alive interval. Fragments of a line
/// don't restart the timeout, because they may arrive without end.
const WATCH_TIMEOUT: Duration = Duration::from_millis(KEEP_ALIVE_INTERVAL.as_millis() as u64 * 5 / 4);
/// Delay before a watch that has ended is restarted.
const WATCH_RESTART_DELAY: Duration = Duration::from_millis(250);
/// How long watches may be silent before the complete list is polled: 1.5 times the keep-alive interval.
const SILENT_WATCH_THRESHOLD: Duration =
    Duration::from_millis(KEEP_ALIVE_INTERVAL.as_millis() as u64 * 3 / 2);
/// Interval between polls of the complete list.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// HTTP path of the endpoint list at the discovery service.
const LIST_PATH: &str = "/api/targets";

/// Watches the endpoint list for changes; never completes.
pub(crate) async fn follow(state: Rc<RouterState>) {
    let mut failure_logged = false;
    loop {
        let service = state.discovery.service();
        let version = state.hosts.directory().version();
        // Polled before the watch, so that nothing is applied that the service sends after it was replaced.
        let replaced = async {
            service.replaced.wait().await;
            Err(DiscoveryError::Replaced)
        };
        match replaced.or(watch_or_fetch(&state, service.address, version)).await {
            Ok(()) => failure_logged = false,
            // The discovery service may be down for long: only the first of consecutive failures is logged.
            Err(error) if !failure_logged => {
                log::warn!(address:% = service.address, version, error:%; "endpoint watch failed, retrying");
                failure_logged = true;
            }
            Err(_) => {}
        }
        // After the first list was fetched, the watch starts without a delay.
        let first_list_fetched = version.is_none() && state.hosts.directory().version().is_some();
        let delay = if first_list_fetched { Duration::ZERO } else { WATCH_RESTART_DELAY };
        after(delay, ()).or(service.replaced.wait()).await;
    }
}

/// Watches for changes since `version`, or fetches the complete list if there is no version yet.
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

/// Polls the complete list while no watch sends anything; never completes.
pub(crate) async fn poll_while_silent(state: Rc<RouterState>) {
    loop {
        Timer::after(POLL_INTERVAL).await;
        let silence = state.discovery.watch_silence(state.clock.now());
        // Without a version, `follow` fetches the complete list itself.
        if state.hosts.directory().version().is_none() || silence.to_std() < SILENT_WATCH_THRESHOLD {
            continue;
        }
        let service = state.discovery.service();
        let replaced = async {
            service.replaced.wait().await;
            Ok(())
        };
        let address = service.address;
        match replaced.or(fetch_list(&state, address)).await {
            Ok(()) => log::debug!(address:%; "endpoint watch silent, complete list polled"),
            Err(error) => log::debug!(address:%, error:%; "polling the complete endpoint list failed"),
        }
    }
}

/// Watches for changes since the version `since`, and applies them until the watch ends.
async fn watch(state: &Rc<RouterState>, address: SocketAddr, since: u64) -> Result<(), DiscoveryError> {
    let path = format!("{LIST_PATH}?follow=1&since={since}");
    let mut response =
        DiscoveryResponse::request(address, &path, state.discovery.response_timeout(), &state.memory).await?;
    let mut allowance = MessageAllowance::new(state.clock.now());
    loop {
        let next_item = with_timeout(WATCH_TIMEOUT, DiscoveryError::WatchTimeout, response.next_item());
        let Some(item) = next_item.await? else {
            return Ok(());
        };
        state.discovery.record_watch_event(state.clock.now());
        let version = state.hosts.directory().version();
        if let JsonStreamItem::Object(text) = item {
            endpoint_update::apply(state, &text, version)?;
        }
        if state.hosts.directory().version() == version {
            limit_idle_items(&mut allowance, state.clock.now()).await?;
        } else {
            allowance.record_useful_message();
        }
    }
}

/// Takes an item that changes nothing from the allowance of a watch. If there were too many, first waits without
/// reading.
async fn limit_idle_items(allowance: &mut MessageAllowance, now: Timestamp) -> Result<(), DiscoveryError> {
    match allowance.take(now) {
        MessageLimit::Handle => {}
        MessageLimit::HandleAfter(pause) => {
            Timer::after(pause.to_std()).await;
        }
        MessageLimit::Exceeded => return Err(DiscoveryError::TooManyIdleItems),
    }
    Ok(())
}

/// Fetches the complete list; once all of it has arrived, applies it unless its version is the current one.
async fn fetch_list(state: &Rc<RouterState>, address: SocketAddr) -> Result<(), DiscoveryError> {
    let version_before = state.hosts.directory().version();
    let text = fetch_list_text(state, address).await?;
    if version_before.is_some() && discovery::version_of_complete_list(&text) == version_before {
        log::debug!(version = version_before; "endpoint list unchanged");
        return Ok(());
    }
    endpoint_update::apply(state, &text, version_before)
}

/// Fetches the text of the complete list, and adapts the response timeout to the duration of the fetch.
async fn fetch_list_text(state: &RouterState, address: SocketAddr) -> Result<Vec<u8>, DiscoveryError> {
    let timeout = state.discovery.response_timeout();
    let started = Instant::now();
    let fetch = read_last_object(state, address, timeout);
    let fetched = with_timeout(timeout, DiscoveryError::BodyTimeout, fetch).await;
    let elapsed = fetched.is_ok().then(|| started.elapsed());
    let timed_out = matches!(&fetched, Err(DiscoveryError::HeadTimeout | DiscoveryError::BodyTimeout));
    if elapsed.is_some() || timed_out {
        state.discovery.set_response_timeout(next_response_timeout(timeout, elapsed));
    }
    fetched
}

/// Requests the complete list, and returns the last JSON object of the response.
async fn read_last_object(
    state: &RouterState, address: SocketAddr, timeout: Duration,
) -> Result<Vec<u8>, DiscoveryError> {
    let mut response = DiscoveryResponse::request(address, LIST_PATH, timeout, &state.memory).await?;
    let mut text = None;
    while let Some(item) = response.next_item().await? {
        if let JsonStreamItem::Object(object) = item {
            text = Some(object);
        }
    }
    text.ok_or(DiscoveryError::NoList)
}
