//! Listens from start to stop.

use crate::memory::flag::Flag;
use crate::service::clock::{Clock, after, duration};
use crate::service::configuration::Site;
use crate::service::daemon::Daemon;
use crate::service::watch;
use crate::stages::take_in;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// With a list from its configuration a router waits this long for discovery's own, then serves with that.
const FIRST_LIST: Duration = Duration::from_secs(1);
/// After the signal to stop, new connections still come for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// How much longer than its longest command a router may take to stop.
const LAST_WORDS: Duration = Duration::from_millis(600);
/// While no descriptor is free, nothing is accepted for this long.
const PAUSE: Duration = Duration::from_millis(1);
const SWEEP: Duration = Duration::from_millis(250);
const SWEEPS_TOLD: u32 = 40;
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Serves until SIGTERM or SIGINT; at SIGHUP the configuration is read again.
pub fn run(
    site: Site, clock: Clock, reread: impl Fn() -> Result<Site, String> + 'static,
) -> Result<(), String> {
    async_io::block_on(async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
        let address = site.listen;
        let listener =
            Async::<TcpListener>::bind(address).map_err(|e| format!("can't listen on {address}: {e}"))?;
        let daemon = Daemon::start(site, clock);
        let (held, stop) = (daemon.clone(), Flag::default());
        let asked = stop.clone();
        // Listened to up to the end: neither signal may end a router that is stopping.
        let heard = async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => held.reload(reread()),
                    _ => asked.raise(),
                }
            }
        };
        daemon.tasks.spawn(heard).detach();
        serve(daemon, listener, stop.raised()).await;
        Ok(())
    })
}

/// Serves until `stop` is through, then answers what was taken and what still comes.
pub async fn serve(daemon: Rc<Daemon>, listener: Async<TcpListener>, stop: impl Future<Output = ()>) {
    let address = listener.get_ref().local_addr().unwrap_or(daemon.site.listen);
    // The standard library's own is short for clients that come by the hundred.
    if let Err(why) = rustix::net::listen(listener.get_ref(), BACKLOG) {
        log::warn!("no more connections may wait than the system's own limit: {why}");
    }
    log::info!("{} listens on {address}", daemon.site.name);
    daemon.tasks.spawn(watch::follow(daemon.clone())).detach();
    daemon.tasks.spawn(sweep(daemon.clone())).detach();
    if !daemon.list.borrow().is_empty() {
        let held = daemon.clone();
        let first = async move {
            Timer::after(FIRST_LIST).await;
            held.ready.raise();
        };
        daemon.tasks.spawn(first).detach();
    }
    let work = async {
        stop.or(accept(&daemon, &listener)).await;
        log::info!("asked to stop: {} connections, {} commands", daemon.clients.len(), in_hand(&daemon));
        after(STILL_COMING, ()).or(accept(&daemon, &listener)).await;
        drop(listener);
        daemon.clients.close_all();
        let through = async {
            while !daemon.clients.is_empty() {
                Timer::after(PAUSE).await;
            }
        };
        through.or(after(duration(daemon.longest_timeout) + LAST_WORDS - STILL_COMING, ())).await;
        daemon.report();
        log::info!("stopped with {} commands in hand", in_hand(&daemon));
    };
    daemon.tasks.run(work).await;
}

fn in_hand(daemon: &Daemon) -> usize {
    daemon.commands.borrow().len()
}

/// Accepts for ever. What waits to be accepted counts as taken, so no more than a moment may pass.
async fn accept(daemon: &Rc<Daemon>, listener: &Async<TcpListener>) {
    let mut incoming = std::pin::pin!(listener.incoming());
    loop {
        let Some(permit) = daemon.client_descriptor() else {
            Timer::after(PAUSE).await;
            continue;
        };
        match incoming.next().await {
            Some(Ok(stream)) => {
                daemon.tasks.spawn(take_in::serve(daemon.clone(), stream, permit)).detach();
            }
            failed => {
                let why = failed.and_then(Result::err);
                log::warn!("a connection could not be accepted: {why:?}");
                Timer::after(PAUSE).await;
            }
        }
    }
}

/// Closes what has been idle too long, and tells now and then what was done.
async fn sweep(daemon: Rc<Daemon>) {
    for round in 1.. {
        Timer::after(SWEEP).await;
        let now = daemon.clock.now();
        daemon.pool.borrow_mut().sweep(now);
        daemon.clients.sweep(now);
        if round % SWEEPS_TOLD == 0 {
            daemon.report();
        }
    }
}
