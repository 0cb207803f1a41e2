//! Database hosts on loopback: the simulated hosts behind sockets.

use super::{Live, Shared, TO_HOSTS, now, read, router_at};
use crate::error::PlayError;
use crate::hosts::{Admission, Job, SimulatedHost};
use crate::ledger::Rule;
use crate::links::Destination;
use async_executor::LocalExecutor;
use async_io::Async;
use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Host, Role};
use comethitch_testkit::postgres::{error, message, row};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use rand_distr::{Distribution, Exp};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// A port on all loopback addresses, and on no others.
pub(super) fn listen() -> Result<(Async<TcpListener>, u16), PlayError> {
    let bound = || -> io::Result<(Async<TcpListener>, u16)> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        // Where the system does not let us, the check of each connection's address does it alone.
        let _ = socket.bind_device(Some(b"lo"));
        socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
        socket.listen(1024)?;
        let listener = TcpListener::from(socket);
        let port = listener.local_addr()?.port();
        Ok((Async::new(listener)?, port))
    };
    bound().map_err(PlayError::Listen)
}

/// Whose link a connection is.
pub(super) fn whose(stream: &Async<TcpStream>) -> Option<usize> {
    match stream.get_ref().local_addr().ok()?.ip() {
        IpAddr::V4(address) => router_at(address),
        IpAddr::V6(_) => None,
    }
}

/// Adds a host and serves it.
pub(super) fn start(
    live: &Shared, ex: &Rc<LocalExecutor<'static>>, group: u16, primary: bool,
) -> Result<usize, PlayError> {
    let (listener, port) = listen()?;
    let nth = live.hosts.borrow().len();
    let cores = live.trial.cores[nth % live.trial.cores.len()];
    let host = Host { address: [127, 64, 0, TO_HOSTS], port };
    live.hosts.borrow_mut().push(SimulatedHost::new(host, group, cores, primary, live.trial.queue_per_core));
    live.ports.borrow_mut().push(port);
    let (live, own) = (live.clone(), ex.clone());
    ex.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Some(router) = whose(&stream) else { continue };
            let (live, more) = (live.clone(), own.clone());
            own.spawn(async move {
                *live.held.borrow_mut().entry(nth).or_default() += 1;
                // A connection that ends is the router's doing, or was asked for.
                let _ = serve(&live, &more, nth, router, stream).await;
                *live.held.borrow_mut().entry(nth).or_default() -= 1;
            })
            .detach();
        }
    })
    .detach();
    Ok(nth)
}

/// What a connection does until it ends.
async fn serve(
    live: &Shared, ex: &Rc<LocalExecutor<'static>>, host: usize, router: usize, mut stream: Async<TcpStream>,
) -> io::Result<()> {
    let _ = stream.get_ref().set_nodelay(true);
    let dead = || !live.hosts.borrow()[host].reachable();
    if dead() {
        return Ok(());
    }
    live.ledger.borrow_mut().connections += 1;
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let rest_of = (u32::from_be_bytes(length) as usize).clamp(4, 10_000) - 4;
    stream.read_exact(&mut vec![0; rest_of]).await?;
    if !live.pass(router, host, Destination::Host).await {
        return Ok(());
    }
    if live.trial.slots > 0 && live.held.borrow()[&host] > live.trial.slots {
        return stream.write_all(&error("53300")).await;
    }
    let hello = [message(b'R', &[0; 4]), message(b'Z', b"I")].concat();
    if !live.pass(router, host, Destination::Router).await {
        return Ok(());
    }
    stream.write_all(&hello).await?;
    while let (b'Q', body) = read(&mut stream).await? {
        let came = now();
        if !live.pass(router, host, Destination::Host).await || dead() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let answer = match text.as_str() {
            "SHOW vitals" => {
                live.ledger.borrow_mut().health_checks += 1;
                vitals(live, host)
            }
            "SELECT 1" => row(b"1"),
            "" => message(b'I', b""),
            _ => match command(live, ex, host, router, &text, came, &mut stream).await {
                Some(answer) => answer,
                None => return Ok(()),
            },
        };
        if dead() || !live.pass(router, host, Destination::Router).await {
            return Ok(());
        }
        let rank = if live.hosts.borrow()[host].primary { "source" } else { "copy" };
        let rank = message(b'S', format!("rank\0{rank}\0").as_bytes());
        stream.write_all(&[answer, rank, message(b'Z', b"I")].concat()).await?;
    }
    Ok(())
}

fn vitals(live: &Live, host: usize) -> Vec<u8> {
    let lag = live.trial.lag_ms * 1000;
    let every = Duration::from_millis(live.trial.report_ms);
    let told = live.hosts.borrow_mut()[host].report(Duration::from_micros(lag), every, now());
    let (at, queue) =
        (told.position.unwrap_or(Timestamp::ZERO).as_micros() / 1000, told.queue.unwrap_or_default());
    let primary = u8::from(told.role == Some(Role::Primary));
    row(format!("x0={}.{:03},x1={primary},queue={queue}", at / 1000, at % 1000).as_bytes())
}

/// The number that a statement carries as its id.
pub(super) fn number(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once("id=")?;
    u64::from_str_radix(rest.get(..16)?, 16).ok()
}

/// Runs a command, or says why not. `None` if nothing is answered any more.
async fn command(
    live: &Shared, ex: &Rc<LocalExecutor<'static>>, host: usize, router: usize, text: &str, came: Timestamp,
    stream: &mut Async<TcpStream>,
) -> Option<Vec<u8>> {
    let Some(number) = number(text) else { return Some(error("08P01")) };
    let write = text.contains("INSERT");
    live.ledger.borrow_mut().attempt_sent(number, router, host, came);
    let second = live.second();
    if !write {
        live.ledger.borrow_mut().read_arrived(second, host, live.hosts.borrow()[host].cores);
    } else if !live.hosts.borrow()[host].primary {
        return Some(error("25006"));
    }
    let factor = Exp::new(1.0).expect("a rate above 0").sample(&mut *live.rng.borrow_mut());
    let work = Duration::from_micros((factor * live.trial.work_ms * 1e3).max(1.0) as u64);
    live.jobs.set(live.jobs.get().wrapping_add(1));
    let job = Job { router, command: live.jobs.get(), attempt: 0, work };
    let was = (live.hosts.borrow()[host].crashed, live.hosts.borrow()[host].peak_cold_load);
    let arrived = live.hosts.borrow_mut()[host].arrive(job, &live.trial.cold_start(), now());
    if !was.0 && live.hosts.borrow()[host].crashed {
        live.ledger
            .borrow_mut()
            .record_violation(Rule::SlowStart, format!("host {host} fell over in second {second}"));
    }
    live.ledger.borrow_mut().cold_load_changed(host, was.1, live.hosts.borrow()[host].peak_cold_load);
    let (tell, done) = async_channel::bounded(1);
    match arrived {
        Admission::Runs(takes) => {
            live.waiting.borrow_mut().insert((host, job.command), tell);
            live.run(ex, host, job, takes);
        }
        Admission::Queued => _ = live.waiting.borrow_mut().insert((host, job.command), tell),
        Admission::QueueFull => return Some(error("53300")),
        Admission::Unreachable => return None,
    }
    live.ledger.borrow_mut().attempt_may_run(number);
    // The router gives a dispatch up by ending the connection.
    let ended = async {
        let _ = stream.read(&mut [0]).await;
        false
    };
    if future::or(async { done.recv().await.is_ok() }, ended).await {
        let behind = live.hosts.borrow()[host].staleness(Duration::from_millis(live.trial.lag_ms), came);
        if !write && behind > Duration::from_millis(live.trial.bound_ms) {
            live.ledger
                .borrow_mut()
                .record_violation(Rule::Staleness, format!("command {number:x} ran at host {host}"));
        }
        return Some(row(format!("{number:016x}").as_bytes()));
    }
    if live.hosts.borrow_mut()[host].withdraw(&job) {
        live.ledger.borrow_mut().attempt_never_ran(number);
    }
    live.waiting.borrow_mut().remove(&(host, job.command));
    None
}
