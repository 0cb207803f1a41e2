//! Follows discovery's list, in two ways that do not depend on each other: a watch, begun anew whenever a line of it is
//! overdue, and calls for the whole list for as long as no watch tells anything.
//!
//! A change counts as told some seconds after discovery had it, whether or not it came here. So whatever a watch may do
//! (fall silent, never come up, be reset, send parts of a line for ever), the list held is never older than [`OVERDUE`]
//! and one call: [`look`] asks on, however the watch fares.

use crate::stages::updates;
use crate::state::buffer::Buffer;
use crate::state::clock::after;
use crate::state::discovery_state::DiscoveryService;
use crate::state::memory_budget::MemoryBudget;
use crate::state::router_state::RouterState;
use crate::wire::discovery::{self, EndpointEntry};
use crate::wire::http::{self, BodyDecoder};
use crate::wire::json_stream::{JsonStream, JsonStreamItem};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// As long as nothing changes, discovery sends an empty line this often.
const EMPTY_LINES: Duration = Duration::from_secs(2);
/// A watch whose next line, whole, is late by a quarter of that has fallen silent. Only a line's end counts: parts of
/// one may come for ever.
const SILENT: Duration = Duration::from_millis(EMPTY_LINES.as_millis() as u64 * 5 / 4);
/// Discovery replies at once: a connection, or the head of an answer, that takes longer is given up.
const AT_ONCE: Duration = Duration::from_millis(750);
/// The wait before a lost watch is begun anew.
const AGAIN: Duration = Duration::from_millis(250);
/// Once no watch has told anything for so long, the whole list is asked for, each [`LOOK`] again.
const OVERDUE: Duration = Duration::from_millis(EMPTY_LINES.as_millis() as u64 * 3 / 2);
const LOOK: Duration = Duration::from_millis(500);
const LARGEST_READ: usize = 64 * 1024;
const CLOSED: &str = "it closed the connection";

/// Follows discovery for ever.
pub async fn follow(state: Rc<RouterState>) {
    let mut told = false;
    loop {
        let DiscoveryService { address, replaced: moved } = state.discovery.service();
        let since = state.endpoints.borrow().version;
        // Looked at before the watch, so that nothing of one that is left counts any more.
        let left = async {
            moved.wait().await;
            Err("another one is followed now".to_string())
        };
        let step = async {
            match since {
                Some(since) => watch(&state, address, since).await,
                None => whole(&state, address)
                    .await
                    .inspect(|()| state.discovery.record_watch_event(state.clock.now())),
            }
        };
        match left.or(step).await {
            // The whole list is held now, or what a watch tells came to its end.
            Ok(()) => told = false,
            // Said once: an agent that is down for long fills no log.
            Err(why) if !told => {
                log::warn!("discovery {address}: {why}; the list held stays, tried again from {since:?}");
                told = true;
            }
            Err(_) => {}
        }
        // A list that was just told is followed at once.
        let pause = if since.is_none() && state.endpoints.borrow().version.is_some() {
            Duration::ZERO
        } else {
            AGAIN
        };
        after(pause, ()).or(moved.wait()).await;
    }
}

/// Asks for the whole list while no watch tells anything.
pub async fn look(state: Rc<RouterState>) {
    loop {
        Timer::after(LOOK).await;
        // Without a list, whoever follows discovery asks for the whole one already.
        if state.endpoints.borrow().version.is_none()
            || state.discovery.watch_silence(state.clock.now()).to_std() < OVERDUE
        {
            continue;
        }
        let DiscoveryService { address, replaced: moved } = state.discovery.service();
        let left = async {
            moved.wait().await;
            Ok(())
        };
        match left.or(whole(&state, address)).await {
            Ok(()) => log::debug!("no watch tells anything: the whole list was asked for"),
            Err(why) => log::debug!("discovery {address}: no whole list: {why}"),
        }
    }
}

/// A watch, up to its end: what changes after a version.
async fn watch(state: &Rc<RouterState>, address: SocketAddr, since: u64) -> Result<(), String> {
    let path = format!("/api/targets?follow=1&since={since}");
    let mut answer = Answer::of(address, &path, &state.memory).await?;
    while let Some(piece) = soon("it has fallen silent", SILENT, answer.piece()).await? {
        state.discovery.record_watch_event(state.clock.now());
        if let JsonStreamItem::Object(text) = piece {
            let held = state.endpoints.borrow().version;
            take(state, &text, held)?;
        }
    }
    Ok(())
}

/// One call for the whole list, which counts only if all of it came.
async fn whole(state: &Rc<RouterState>, address: SocketAddr) -> Result<(), String> {
    let before = state.endpoints.borrow().version;
    let call = async {
        let mut answer = Answer::of(address, "/api/targets", &state.memory).await?;
        let mut text = None;
        while let Some(piece) = answer.piece().await? {
            if let JsonStreamItem::Object(object) = piece {
                text = Some(object);
            }
        }
        text.ok_or_else(|| "an answer without a list".to_string())
    };
    let text = soon("it does not end its answer", AT_ONCE, call).await?;
    take(state, &text, before)
}

/// Takes in an object of the list. `before` is the version held as it was asked for: one that is older than what
/// another call has brought since then tells of the past.
fn take(state: &Rc<RouterState>, text: &[u8], before: Option<u64>) -> Result<(), String> {
    let listing = discovery::parse_endpoint_list(text, &state.config.zones).map_err(|e| e.to_string())?;
    let held = state.endpoints.borrow().version;
    let outrun = held != before || !listing.complete;
    if outrun && held.is_some_and(|held| listing.seq < held) {
        log::debug!("list {} is older than what is held, {held:?}", listing.seq);
        return Ok(());
    }
    for entry in &listing.entries {
        let EndpointEntry { name, dial, endpoint } = entry;
        let primary = if endpoint.is_primary { ", primary" } else { "" };
        let (lifecycle, shard) = (endpoint.lifecycle, endpoint.shard);
        log::info!("list {}: {name} at {dial} is {lifecycle:?}{primary}, group {shard}", listing.seq);
    }
    updates::apply_endpoint_list(state, &listing);
    state.ready.set();
    Ok(())
}

/// An answer of discovery as it comes in.
struct Answer {
    stream: Async<TcpStream>,
    buffer: Buffer,
    body: BodyDecoder,
    pieces: JsonStream,
}

impl Answer {
    /// Asks, and reads the head of what is answered.
    async fn of(address: SocketAddr, path: &str, room: &MemoryBudget) -> Result<Answer, String> {
        let connect = async { Async::<TcpStream>::connect(address).await.map_err(|e| e.to_string()) };
        let stream = soon("no connection comes up", AT_ONCE, connect).await?;
        let _ = stream.get_ref().set_nodelay(true);
        let request = http::get_request(path, &address.to_string());
        let mut buffer = Buffer::new(LARGEST_READ, room);
        let head = async {
            (&stream).write_all(&request).await.map_err(|e| e.to_string())?;
            loop {
                if let Some(head) = http::parse_head(buffer.unread()).map_err(|e| e.0)? {
                    return Ok(head);
                }
                match buffer.fill(&stream).await.map_err(|e| e.to_string())? {
                    0 => return Err(CLOSED.to_string()),
                    _ => continue,
                }
            }
        };
        // The whole head at once: one that comes byte by byte for ever is none.
        let http::ResponseHead { status, body, length } =
            soon("its answer does not begin", AT_ONCE, head).await?;
        if status != 200 {
            return Err(format!("it answers with status {status}"));
        }
        buffer.consume(length);
        Ok(Answer { stream, buffer, body, pieces: JsonStream::default() })
    }

    /// The next object or empty line; none at the end of the answer.
    async fn piece(&mut self) -> Result<Option<JsonStreamItem>, String> {
        loop {
            if let Some(piece) = self.pieces.next_item().map_err(|e| e.to_string())? {
                return Ok(Some(piece));
            }
            if self.body.is_complete() {
                return if self.pieces.in_object() {
                    Err("it ends within an object".into())
                } else {
                    Ok(None)
                };
            }
            let taken = self.body.decode(self.buffer.unread(), self.pieces.buffer_mut()).map_err(|e| e.0)?;
            self.buffer.consume(taken);
            if taken > 0 {
                continue;
            }
            // A reset is an error here and no end.
            match self.buffer.fill(&self.stream).await.map_err(|e| e.to_string())? {
                0 if self.body == BodyDecoder::UntilClosed => self.body = BodyDecoder::Length(0),
                0 => return Err(CLOSED.into()),
                _ => {}
            }
        }
    }
}

/// Each step has a limit.
async fn soon<T>(
    late: &'static str, limit: Duration, step: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    step.or(after(limit, Err(late.into()))).await
}
