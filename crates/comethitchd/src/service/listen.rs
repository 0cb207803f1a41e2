//! Listens from start to stop.

use crate::protocols::postgres::Postgres;
use crate::protocols::tds::Tds;
use crate::protocols::tds::settings::TdsSettings;
use crate::service::{startup, watch};
use crate::stages::{policy_driver, updates};
use crate::state::clock::{Clock, after};
use crate::state::config::{Config, ConfigError};
use crate::state::metrics_report::log_metrics;
use crate::state::protocol::{BackendProtocol, ClientProtocol};
use crate::state::router_state::RouterState;
use crate::state::signals::OneShotEvent;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use comethitch_statement::Dialect;
use futures_lite::{FutureExt, StreamExt};
use std::future::{Future, poll_fn};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// With a list from its configuration a router waits this long for discovery's own, then serves with that.
const FIRST_LIST: Duration = Duration::from_secs(1);
/// Without one it waits longer, and is then ready all the same: what it is asked it throttles until a list comes. A
/// router counts as restarted well only if it is ready within ten seconds, and discovery may be down for longer.
const NO_LIST: Duration = Duration::from_secs(5);
/// After the signal to stop, new connections still come for up to 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(500);
/// How much longer than its longest command a router may take to stop.
const LAST_WORDS: Duration = Duration::from_millis(600);
/// The last part of that, in which the last answers are written.
const WRITTEN: Duration = Duration::from_millis(150);
/// While no descriptor is free, nothing is accepted for this long.
const PAUSE: Duration = Duration::from_millis(1);
const SWEEP: Duration = Duration::from_millis(250);
const SWEEPS_TOLD: u32 = 40;
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// What is spoken with clients and with hosts, and where else clients come.
pub struct Protocol {
    pub front: Rc<dyn ClientProtocol>,
    pub back: Box<dyn BackendProtocol>,
    pub also_listen: Vec<SocketAddr>,
}

impl Protocol {
    pub fn postgres() -> Protocol {
        Protocol { front: Rc::new(Postgres), back: Box::new(Postgres), also_listen: Vec::new() }
    }

    /// TDS, in the operator's ways. Its statements are judged by their text, so that rules are needed.
    pub fn tds(ways: TdsSettings, site: &Config) -> Result<Protocol, String> {
        match &site.statements {
            None => return Err("TDS needs rules for statements: give --statements".into()),
            Some(rules) if rules.dialect != Dialect::Tsql => {
                return Err("the rules for statements are not of the dialect tsql".into());
            }
            Some(_) => {}
        }
        let also_listen = ways.addresses().map_err(|e| e.to_string())?;
        let tds = Tds(Rc::new(ways));
        Ok(Protocol { front: Rc::new(tds.clone()), back: Box::new(tds), also_listen })
    }
}

/// Serves until SIGTERM or SIGINT; at SIGHUP the configuration is read again.
pub fn run(
    site: Config, clock: Clock, protocol: Protocol,
    reread: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), String> {
    async_io::block_on(async {
        let mut signals =
            Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
        let bind = |address: &SocketAddr| {
            Async::<TcpListener>::bind(*address).map_err(|e| format!("can't listen on {address}: {e}"))
        };
        let addresses = std::iter::once(&site.listen).chain(&protocol.also_listen);
        let listeners = addresses.map(bind).collect::<Result<Vec<_>, String>>()?;
        let state = startup::start(site, clock, protocol.back).map_err(|e| e.to_string())?;
        let (held, stop) = (state.clone(), OneShotEvent::default());
        let asked = stop.clone();
        // Listened to up to the end: neither signal may end a router that is stopping.
        let heard = async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Hup) => updates::reload(&held, reread()),
                    _ => asked.set(),
                }
            }
        };
        state.tasks.spawn(heard).detach();
        serve(state, protocol.front, listeners, stop.wait()).await;
        Ok(())
    })
}

/// Serves until `stop` is through, then answers what was taken and what still comes.
pub async fn serve(
    state: Rc<RouterState>, front: Rc<dyn ClientProtocol>, listeners: Vec<Async<TcpListener>>,
    stop: impl Future<Output = ()>,
) {
    for listener in &listeners {
        let address = listener.get_ref().local_addr().unwrap_or(state.config.listen);
        // The standard library's own is short for clients that come by the hundred.
        if let Err(why) = rustix::net::listen(listener.get_ref(), BACKLOG) {
            log::warn!("no more connections may wait than the system's own limit: {why}");
        }
        log::info!("{} listens on {address}", state.config.name);
    }
    state.tasks.spawn(watch::follow(state.clone())).detach();
    state.tasks.spawn(sweep(state.clone())).detach();
    state.tasks.spawn(watch::look(state.clone())).detach();
    let first = if state.endpoints.borrow().is_empty() { NO_LIST } else { FIRST_LIST };
    let held = state.clone();
    let ready = async move {
        Timer::after(first).await;
        held.ready.set();
    };
    state.tasks.spawn(ready).detach();
    let work = async {
        stop.or(accept_all(&state, &front, &listeners)).await;
        log::info!("asked to stop: {} connections, {} commands", state.clients.len(), in_hand(&state));
        // Looked at last before the listeners close: what waits there to be accepted would be reset.
        accept_all(&state, &front, &listeners).or(after(STILL_COMING, ())).await;
        drop(listeners);
        state.clients.close_all();
        let through = async {
            while !state.clients.is_empty() {
                Timer::after(PAUSE).await;
            }
        };
        let limit = state.longest_timeout.to_std() + LAST_WORDS - STILL_COMING;
        let given_up = async {
            // A client may wait longer than its command group says: it is answered while there is time to.
            Timer::after(limit.saturating_sub(WRITTEN)).await;
            policy_driver::call(&state, |router, out| router.shut_down(out));
            Timer::after(WRITTEN).await;
        };
        through.or(given_up).await;
        log_metrics(&state);
        log::info!("stopped with {} commands in hand", in_hand(&state));
    };
    state.tasks.run(work).await;
}

fn in_hand(state: &RouterState) -> usize {
    state.commands.borrow().len()
}

/// Accepts at all listeners for ever.
async fn accept_all(
    state: &Rc<RouterState>, front: &Rc<dyn ClientProtocol>, listeners: &[Async<TcpListener>],
) {
    let mut all: Vec<_> = listeners.iter().map(|listener| Box::pin(accept(state, front, listener))).collect();
    poll_fn(|context| {
        for one in &mut all {
            let _ = one.as_mut().poll(context);
        }
        Poll::Pending
    })
    .await
}

/// Accepts for ever. What waits to be accepted counts as taken, so no more than a moment may pass.
async fn accept(state: &Rc<RouterState>, front: &Rc<dyn ClientProtocol>, listener: &Async<TcpListener>) {
    let mut incoming = std::pin::pin!(listener.incoming());
    loop {
        let Some(permit) = state.acquire_client_descriptor() else {
            Timer::after(PAUSE).await;
            continue;
        };
        match incoming.next().await {
            Some(Ok(stream)) => {
                state.tasks.spawn(front.serve(state.clone(), stream, permit)).detach();
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
async fn sweep(state: Rc<RouterState>) {
    for round in 1.. {
        Timer::after(SWEEP).await;
        let now = state.clock.now();
        state.pool.borrow_mut().close_expired(now);
        state.clients.close_expired(now);
        if round % SWEEPS_TOLD == 0 {
            log_metrics(&state);
        }
    }
}
