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

/// Sends the list, and again whenever it has changed, one line each. Nothing reaches a router that is cut off.
async fn send_updates(fleet: &LiveFleet, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    stream.write_all(CHUNKED_HEAD).await?;
    let mut sent_version = 0;
    let mut last_sent = now();
    loop {
        let Some(line) = next_line(fleet, router, &mut sent_version, last_sent).await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        last_sent = now();
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        stream.write_all(chunk.as_bytes()).await?;
    }
}

/// The list if it has changed, an empty line if the connection was quiet for long, `None` otherwise.
async fn next_line(
    fleet: &LiveFleet, router: usize, sent_version: &mut u64, last_sent: Timestamp,
) -> Option<String> {
    if fleet.links.borrow().is_partitioned(router) {
        return None;
    }
    if fleet.endpoints_version.get() <= *sent_version {
        let quiet = now() - last_sent > KEEP_ALIVE_INTERVAL;
        return quiet.then(String::new);
    }
    if *sent_version > 0 {
        let delay_micros = LEAST_DELAY_MICROS + DELAY_SPREAD_MICROS * fleet.draw();
        sleep(Duration::from_micros(delay_micros as u64)).await;
    }
    *sent_version = fleet.endpoints_version.get();
    record_drain_notifications(fleet, router);
    Some(endpoint_list(fleet, router).to_string())
}
