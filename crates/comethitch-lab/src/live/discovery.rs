//! Service discovery on loopback: the endpoint list over HTTP, and its updates, to each router a little later than they
//! happen.

use super::network::{Listener, Purpose, address, dialling_router, listen, now, sleep};
use super::state::{LiveFleet, SharedFleet};
use crate::error::PlayError;
use crate::hosts::SimulatedHost;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::io;
use std::net::TcpStream;

/// The end of a request's head.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// The longest head that is read, in bytes.
const LONGEST_HEAD: usize = 4096;
/// How a request asks to be sent updates.
const FOLLOW: &str = "follow=1";
/// The head of a response that goes on.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// After how long without an update an empty line is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a response looks for updates.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The least delay of an update, and how much more it may be by chance, in microseconds.
const LEAST_DELAY_MICROS: f64 = 200_000.0;
const DELAY_SPREAD_MICROS: f64 = 1_300_000.0;

/// The complete endpoint list, as one router sees it.
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

/// Records that a router is being notified which hosts drain.
fn record_drain_notifications(fleet: &LiveFleet, router: usize) {
    let hosts = fleet.hosts.borrow();
    let mut ledger = fleet.ledger.borrow_mut();
    for (host, _) in hosts.iter().enumerate().filter(|(_, host)| host.draining.is_some()) {
        ledger.drain_notified(router, host, now());
    }
}

/// Serves the endpoint list; returns its port, which is the same on each router's own address.
pub(super) fn start(fleet: &SharedFleet) -> Result<u16, PlayError> {
    let Listener { listener, port } = listen()?;
    let served = fleet.clone();
    fleet.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(router) = dialling_router(&stream) else { continue };
            let fleet = served.clone();
            served.spawn(async move {
                // A connection ends when its router ends.
                let _ = serve(&fleet, router, stream).await;
            });
        }
    });
    Ok(port)
}

async fn serve(fleet: &LiveFleet, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    let head = read_head(&mut stream).await?;
    let follows = head.lines().next().is_some_and(|line| line.contains(FOLLOW));
    if follows {
        return send_updates(fleet, router, stream).await;
    }
    record_drain_notifications(fleet, router);
    let body = endpoint_list(fleet, router).to_string();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await
}

async fn read_head(stream: &mut Async<TcpStream>) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(END_OF_HEAD) && head.len() < LONGEST_HEAD {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// A watch of the list by one router.
struct Watch<'a> {
    fleet: &'a LiveFleet,
    router: usize,
    sent_version: u64,
    last_sent: Timestamp,
    /// When an update that is on its way arrives.
    update_due: Option<Timestamp>,
}

/// Sends the list, and again whenever it has changed, one line each, until the router closes the connection. Nothing
/// reaches a router that is cut off.
async fn send_updates(fleet: &LiveFleet, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
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

/// Whether the router has closed the connection: it is not notified on it any more.
fn is_closed(stream: &Async<TcpStream>) -> bool {
    stream.get_ref().peek(&mut [0]).is_ok_and(|length| length == 0)
}

impl Watch<'_> {
    /// The list once a change of it has arrived, an empty line if the connection was quiet for long, else `None`.
    fn next_line(&mut self) -> Option<String> {
        if self.fleet.links.borrow().is_partitioned(self.router) {
            return None;
        }
        if self.fleet.endpoints_version.get() > self.sent_version {
            let due = self.update_due.unwrap_or_else(|| now() + self.update_delay());
            self.update_due = Some(due);
            if now() >= due {
                return Some(self.list());
            }
        }
        (now() - self.last_sent > KEEP_ALIVE_INTERVAL).then(String::new)
    }

    /// The first list is there at once, an update of it comes later.
    fn update_delay(&self) -> Duration {
        if self.sent_version == 0 {
            return Duration::ZERO;
        }
        Duration::from_micros((LEAST_DELAY_MICROS + DELAY_SPREAD_MICROS * self.fleet.draw()) as u64)
    }

    fn list(&mut self) -> String {
        self.update_due = None;
        self.sent_version = self.fleet.endpoints_version.get();
        record_drain_notifications(self.fleet, self.router);
        endpoint_list(self.fleet, self.router).to_string()
    }
}
