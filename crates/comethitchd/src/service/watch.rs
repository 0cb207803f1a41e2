//! Follows discovery's list.

use crate::memory::buffer::Buffer;
use crate::service::daemon::Daemon;
use crate::wire::{discovery, http};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// As long as nothing changes, discovery sends an empty line this often.
const EMPTY_LINES: Duration = Duration::from_secs(2);
/// The wait before a lost watch is begun anew.
const AGAIN: Duration = Duration::from_millis(250);
const LARGEST_READ: usize = 64 * 1024;
const LARGEST_LINE: usize = 8 << 20;

pub async fn follow(daemon: Rc<Daemon>) {
    let mut told = false;
    loop {
        let path = match !daemon.list.borrow().is_empty() {
            true => format!("/api/targets?follow=1&since={}", daemon.list.borrow().seq),
            false => "/api/targets".into(),
        };
        match watch(&daemon, &path).await {
            Ok(()) => told = false,
            // Said once: an agent that is down for long fills no log.
            Err(why) if !told => {
                log::warn!(
                    "discovery: {why}; the list held stays, tried again from {}",
                    daemon.list.borrow().seq
                );
                told = true;
            }
            Err(_) => {}
        }
        Timer::after(AGAIN).await;
    }
}

/// One request, up to the end of its answer.
async fn watch(daemon: &Rc<Daemon>, path: &str) -> Result<(), String> {
    let address = daemon.site.discovery;
    let stream = soon("no connection comes up", Async::<TcpStream>::connect(address)).await?;
    let _ = stream.get_ref().set_nodelay(true);
    let request = http::request(path, &address.to_string());
    soon("it takes no request", (&stream).write_all(&request)).await?;
    let mut buffer = Buffer::new(LARGEST_READ);
    let mut body = None;
    let mut lines = Vec::new();
    loop {
        let read = soon("it has fallen silent", buffer.fill(&stream)).await?;
        if body.is_none()
            && let Some((status, form, length)) = http::head(buffer.unread()).map_err(|e| e.0)?
        {
            if status != 200 {
                return Err(format!("it answers with status {status}"));
            }
            buffer.consume(length);
            body = Some(form);
        }
        if let Some(body) = &mut body {
            let taken = body.take(buffer.unread(), &mut lines).map_err(|e| e.0)?;
            buffer.consume(taken);
            let over = read == 0 || body.over();
            take_lines(daemon, &mut lines, over)?;
            if over {
                return Ok(());
            }
        }
        if read == 0 {
            return Err("it closed the connection".into());
        }
        if lines.len() > LARGEST_LINE {
            return Err("it sends a line without end".into());
        }
    }
}

/// Nothing of a watch takes longer than some empty lines.
async fn soon<T>(late: &'static str, step: impl Future<Output = io::Result<T>>) -> Result<T, String> {
    let late = async {
        Timer::after(EMPTY_LINES * 3).await;
        Err(io::Error::other(late))
    };
    step.or(late).await.map_err(|e| e.to_string())
}

/// Takes in the whole lines, and the rest too once nothing more follows.
fn take_lines(daemon: &Rc<Daemon>, lines: &mut Vec<u8>, over: bool) -> Result<(), String> {
    let end = if over { lines.len() } else { lines.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1) };
    for line in lines[..end].split(|b| *b == b'\n').filter(|line| !line.trim_ascii().is_empty()) {
        let listing = discovery::listing(line, &daemon.site.zones)?;
        for entry in &listing.entries {
            log::info!(
                "list {}: {} at {} is {:?}{}, group {}",
                listing.seq,
                entry.name,
                entry.dial,
                entry.lifecycle,
                if entry.heads { ", primary" } else { "" },
                entry.shard
            );
        }
        daemon.listed(&listing);
        daemon.ready.raise();
    }
    lines.drain(..end);
    Ok(())
}
