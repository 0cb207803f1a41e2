//! Follows discovery's list.

use crate::memory::buffer::{Buffer, Room};
use crate::memory::clock::after;
use crate::memory::hub::Hub;
use crate::stages::learn;
use crate::wire::discovery;
use crate::wire::http::{self, Body};
use async_io::Async;
use futures_lite::stream::{self, Stream};
use futures_lite::{AsyncWriteExt, FutureExt, StreamExt};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

/// As long as nothing changes, discovery sends an empty line this often.
const EMPTY_LINES: Duration = Duration::from_secs(2);
/// It replies at once: what takes longer to come up, or to begin its answer, is tried anew.
const AT_ONCE: Duration = Duration::from_millis(750);
/// The wait before a lost watch is begun anew.
const AGAIN: Duration = Duration::from_millis(250);
const LARGEST_READ: usize = 64 * 1024;
const LARGEST_LINE: usize = 8 << 20;

pub async fn follow(hub: Rc<Hub>) {
    let mut told = false;
    loop {
        let (address, moved) = hub.discovery.borrow().clone();
        let held = hub.list.borrow().since;
        let path = match held {
            Some(since) => format!("/api/targets?follow=1&since={since}"),
            None => "/api/targets".into(),
        };
        let left = async {
            moved.raised().await;
            Err("another one is followed now".into())
        };
        match watch(&hub, address, &path).or(left).await {
            // The whole list is held now, or what a watch tells came to its end.
            Ok(()) => told = false,
            // Said once: an agent that is down for long fills no log.
            Err(why) if !told => {
                log::warn!("discovery {address}: {why}; the list held stays, tried again from {held:?}");
                told = true;
            }
            Err(_) => {}
        }
        // A list that was just told is followed at once.
        let pause = if held.is_none() && hub.list.borrow().since.is_some() { Duration::ZERO } else { AGAIN };
        after(pause, ()).or(moved.raised()).await;
    }
}

/// One request, and what it tells up to the end of its answer.
async fn watch(hub: &Rc<Hub>, address: SocketAddr, path: &str) -> Result<(), String> {
    let mut lines = pin!(lines(address, path, &hub.room).await?);
    while let Some(line) = lines.try_next().await? {
        if line.trim_ascii().is_empty() {
            continue;
        }
        let listing = discovery::listing(&line, &hub.site.zones)?;
        for entry in &listing.entries {
            let (name, dial, lifecycle) = (&entry.name, entry.dial, entry.lifecycle);
            let heads = if entry.heads { ", primary" } else { "" };
            log::info!(
                "list {}: {name} at {dial} is {lifecycle:?}{heads}, group {}",
                listing.seq,
                entry.shard
            );
        }
        learn::listed(hub, &listing);
        hub.ready.raise();
    }
    Ok(())
}

/// Asks discovery, and streams the lines of its answer.
async fn lines(
    address: SocketAddr, path: &str, room: &Room,
) -> Result<impl Stream<Item = Result<Vec<u8>, String>>, String> {
    let stream = soon("no connection comes up", AT_ONCE, Async::<TcpStream>::connect(address)).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let request = http::request(path, &address.to_string());
    soon("it takes no request", AT_ONCE, (&stream).write_all(&request)).await?;
    let answer = Answer { stream, buffer: Buffer::new(LARGEST_READ, room), body: None, text: Vec::new() };
    Ok(stream::try_unfold(answer, |mut answer| async {
        let line = answer.line().await?;
        Ok(line.map(|line| (line, answer)))
    }))
}

/// An answer of discovery as it comes in.
struct Answer {
    stream: Async<TcpStream>,
    buffer: Buffer,
    body: Option<Body>,
    /// What of the body is not yet a line.
    text: Vec<u8>,
}

impl Answer {
    /// The next line; the last one need not be ended.
    async fn line(&mut self) -> Result<Option<Vec<u8>>, String> {
        loop {
            if let Some(end) = self.text.iter().position(|b| *b == b'\n') {
                return Ok(Some(self.text.drain(..=end).collect()));
            }
            if self.text.len() > LARGEST_LINE {
                return Err("it sends a line without end".into());
            }
            if self.body.as_ref().is_some_and(Body::over) {
                let rest = std::mem::take(&mut self.text);
                return Ok(Some(rest).filter(|rest| !rest.is_empty()));
            }
            let limit = if self.body.is_none() { AT_ONCE } else { EMPTY_LINES * 3 };
            let read = soon("it has fallen silent", limit, self.buffer.fill(&self.stream)).await?;
            if self.body.is_none()
                && let Some((status, body, length)) = http::head(self.buffer.unread()).map_err(|e| e.0)?
            {
                if status != 200 {
                    return Err(format!("it answers with status {status}"));
                }
                self.buffer.consume(length);
                self.body = Some(body);
            }
            match &mut self.body {
                Some(Body::UntilClosed) if read == 0 => self.body = Some(Body::Length(0)),
                _ if read == 0 => return Err("it closed the connection".into()),
                Some(body) => {
                    let taken = body.take(self.buffer.unread(), &mut self.text).map_err(|e| e.0)?;
                    self.buffer.consume(taken);
                }
                None => {}
            }
        }
    }
}

/// Each step of a watch has a limit.
async fn soon<T>(
    late: &'static str, limit: Duration, step: impl Future<Output = io::Result<T>>,
) -> Result<T, String> {
    step.or(after(limit, Err(io::Error::other(late)))).await.map_err(|e| e.to_string())
}
