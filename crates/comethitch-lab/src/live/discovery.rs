//! Service discovery on loopback: serves the endpoint list over HTTP, and delayed watch events to each
//! router.

use super::network::{Listener, Purpose, address, connecting_router, listen, now, sleep};
use super::state::{LiveFleet, SharedFleet};
use crate::error::RunError;
use crate::hosts::SimulatedHost;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::io;
use std::net::TcpStream;

/// End of the head of an HTTP request.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Maximum length of the head of an HTTP request.
const MAX_HEAD_BYTES: usize = 4096;
/// Query parameter of a watch request.
const WATCH_PARAMETER: &str = "follow=1";
/// Head of a response that streams watch events.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Time without an update after which an empty line is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a watch checks for updates.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum delay of a watch event, in microseconds.
const MIN_DELAY_US: f64 = 200_000.0;
/// Maximum random addition to the delay of a watch event, in microseconds.
const DELAY_SPREAD_US: f64 = 1_300_000.0;

/// Returns the complete endpoint list with the addresses that a router connects to.
pub(super) fn endpoint_list(fleet: &LiveFleet, router: usize) -> Value {
    let hosts = fleet.hosts.borrow();
    let ports = fleet.ports.borrow();
    let present = hosts.iter().enumerate().filter(|(_, host)| !host.removed);
    let entries: Vec<Value> = present.map(|(index, host)| entry(router, index, host, ports[index])).collect();
    json!({"seq": fleet.endpoints_version.get(), "whole": true, "hosts": entries})
}

fn entry(router: usize, index: usize, host: &SimulatedHost, port: u16) -> Value {
    let health = if host.draining.is_some() { "draining" } else { "ready" };
    let rank = if host.primary { "source" } else { "copy" };
    json!({
        "host": format!("db-{index}"),
        "dial": format!("{}:{port}", address(router, Purpose::Hosts)),
        "site": "north",
        "class": format!("c{}", host.cores),
        "block": host.shard,
        "health": health,
        "share": f64::from(host.cores),
        "rank": rank,
        "born_ms": host.started.map_or(0, |at| at.as_micros() / 1000)
    })
}

/// Records that a router is notified which hosts are draining.
fn record_drain_notifications(fleet: &LiveFleet, router: usize) {
    let hosts = fleet.hosts.borrow();
    let mut ledger = fleet.ledger.borrow_mut();
    for (host, _) in hosts.iter().enumerate().filter(|(_, host)| host.draining.is_some()) {
        ledger.drain_notified(router, host, now());
    }
}

/// Serves the endpoint list, and returns the port, which is the same at each router's address.
pub(super) fn start(fleet: &SharedFleet) -> Result<u16, RunError> {
    let Listener { listener, port } = listen()?;
    let served = fleet.clone();
    fleet.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(router) = connecting_router(&stream) else { continue };
            let fleet = served.clone();
            served.spawn(async move {
                // An error means that the router has closed the connection.
                let _ = serve(&fleet, router, stream).await;
            });
        }
    });
    Ok(port)
}

async fn serve(fleet: &LiveFleet, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    let head = read_head(&mut stream).await?;
    let is_watch = head.lines().next().is_some_and(|line| line.contains(WATCH_PARAMETER));
    if is_watch {
        return serve_watch(fleet, router, stream).await;
    }
    record_drain_notifications(fleet, router);
    let body = endpoint_list(fleet, router).to_string();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await
}

async fn read_head(stream: &mut Async<TcpStream>) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(END_OF_HEAD) && head.len() < MAX_HEAD_BYTES {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// A router's watch of the endpoint list.
struct Watch<'a> {
    fleet: &'a LiveFleet,
    router: usize,
    sent_version: u64,
    last_sent: Timestamp,
    /// When the next update is to be sent, or `None` if no change is known that was not sent.
    update_due: Option<Timestamp>,
}

/// Sends the endpoint list, encoded in one line, at once and after each change, until the router closes the
/// connection. Sends nothing to a partitioned router.
async fn serve_watch(fleet: &LiveFleet, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    stream.write_all(CHUNKED_HEAD).await?;
    let mut watch = Watch { fleet, router, sent_version: 0, last_sent: now(), update_due: None };
    while !is_closed(&stream) {
        let Some(line) = watch.next_line() else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        watch.last_sent = now();
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        stream.write_all(chunk.as_bytes()).await?;
    }
    Ok(())
}

/// Returns whether the router has closed the connection.
fn is_closed(stream: &Async<TcpStream>) -> bool {
    stream.get_ref().peek(&mut [0]).is_ok_and(|length| length == 0)
}

impl Watch<'_> {
    /// Returns the list if a change is due, an empty line if a keep-alive is due, and otherwise `None`.
    fn next_line(&mut self) -> Option<String> {
        if self.fleet.links.borrow().is_partitioned(self.router) {
            return None;
        }
        if self.fleet.endpoints_version.get() > self.sent_version {
            let due = self.update_due.unwrap_or_else(|| now() + self.update_delay());
            self.update_due = Some(due);
            if now() >= due {
                return Some(self.next_list());
            }
        }
        (now() - self.last_sent > KEEP_ALIVE_INTERVAL).then(String::new)
    }

    /// Returns the delay of the next update, which is zero for the first list.
    fn update_delay(&self) -> Duration {
        if self.sent_version == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros((MIN_DELAY_US + DELAY_SPREAD_US * self.fleet.draw()) as u64)
    }

    fn next_list(&mut self) -> String {
        self.update_due = None;
        self.sent_version = self.fleet.endpoints_version.get();
        record_drain_notifications(self.fleet, self.router);
        endpoint_list(self.fleet, self.router).to_string()
    }
}
