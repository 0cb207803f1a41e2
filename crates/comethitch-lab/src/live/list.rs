//! Discovery on loopback: the list and its changes, to each router a little later than they happen.

use super::{Live, Shared, TO_HOSTS, address, databases, now, rest};
use crate::error::PlayError;
use async_executor::LocalExecutor;
use async_io::Async;
use comethitch_policy::time::Duration;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

/// The list as one router sees it.
pub(super) fn whole(live: &Live, router: usize) -> Value {
    let hosts = live.hosts.borrow();
    let ports = live.ports.borrow();
    let entry = |(nth, host): (usize, &crate::hosts::SimulatedHost)| {
        let health = match host.draining {
            _ if host.removed => "gone",
            Some(_) => "draining",
            None => "ready",
        };
        json!({
            "host": format!("db-{nth}"), "dial": format!("{}:{}", address(router, TO_HOSTS), ports[nth]),
            "site": "north", "class": format!("c{}", host.cores), "block": host.shard, "health": health,
            "share": f64::from(host.cores), "rank": if host.primary { "source" } else { "copy" },
            "born_ms": host.started.map_or(0, |at| at.as_micros() / 1000)
        })
    };
    let hosts: Vec<Value> = hosts.iter().enumerate().filter(|(_, h)| !h.removed).map(entry).collect();
    json!({"seq": live.list.get(), "whole": true, "hosts": hosts})
}

/// Notes that a router is being told which hosts drain.
fn tells(live: &Live, router: usize) {
    let hosts = live.hosts.borrow();
    let mut ledger = live.ledger.borrow_mut();
    let draining = hosts.iter().enumerate().filter(|(_, host)| host.draining.is_some());
    draining.for_each(|(nth, _)| ledger.drain_notified(router, nth, now()));
}

/// Serves the list; the port is the same on each router's own address.
pub(super) fn start(live: &Shared, ex: &Rc<LocalExecutor<'static>>) -> Result<u16, PlayError> {
    let (listener, port) = databases::listen()?;
    let (live, own) = (live.clone(), ex.clone());
    ex.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(router) = databases::whose(&stream) else { continue };
            let live = live.clone();
            own.spawn(async move {
                let _ = serve(&live, router, stream).await;
            })
            .detach();
        }
    })
    .detach();
    Ok(port)
}

async fn serve(live: &Shared, router: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    let mut asked = Vec::new();
    while !asked.ends_with(b"\r\n\r\n") && asked.len() < 4096 {
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        asked.push(byte[0]);
    }
    let watch = String::from_utf8_lossy(&asked).lines().next().is_some_and(|line| line.contains("follow=1"));
    if !watch {
        tells(live, router);
        let body = whole(live, router).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut seen = 0;
    let mut quiet = now();
    loop {
        let apart = live.links.borrow().is_partitioned(router);
        let line = if live.list.get() > seen && !apart {
            if seen > 0 {
                rest(Duration::from_micros((200_000.0 + 1_300_000.0 * live.chance()) as u64)).await;
            }
            seen = live.list.get();
            tells(live, router);
            whole(live, router).to_string()
        } else if now() - quiet > Duration::from_secs(2) && !apart {
            String::new()
        } else {
            rest(Duration::from_millis(50)).await;
            continue;
        };
        quiet = now();
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        stream.write_all(chunk.as_bytes()).await?;
    }
}
