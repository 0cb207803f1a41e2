//! Clients: each router has its own, who come at a rate of their own, wait as long as they said, and come again a
//! little after a throttle.

use super::{Shared, now, read, rest, routers};
use crate::clients::{ClientCommand, LEAST_RATE, MAX_RETRIES, RETRY_DELAY};
use crate::ledger::{Answer, Request};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use comethitch_policy::time::Duration;
use comethitch_testkit::postgres::message;
use futures_lite::{AsyncWriteExt, future};
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::cell::RefCell;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration as StdDuration;

/// Connections that wait for their next command, with the router and the life of it that they lead to.
type Pool = Rc<RefCell<Vec<(usize, u32, Async<TcpStream>)>>>;

/// The clients of one router, until the trial stops asking.
pub(super) async fn arrive(live: Shared, ex: Rc<LocalExecutor<'static>>, router: usize, rate: f64) {
    let pool = Pool::default();
    let gap = Exp::new(rate.max(LEAST_RATE)).expect("a rate above 0");
    let mut at = now();
    loop {
        // Counted from the last arrival: a late timer takes nothing from the rate.
        at = at + Duration::from_micros((gap.sample(&mut *live.rng.borrow_mut()) * 1e6) as u64);
        rest(at - now()).await;
        if !live.asking.get() {
            return;
        }
        let group = live.rng.borrow_mut().random_range(0..live.trial.groups);
        let write = live.rng.borrow_mut().random_bool(live.trial.writes);
        let ask =
            ClientCommand { request: Request { id: live.number(), sent_at: now() }, shard: group, write };
        live.ledger.borrow_mut().request_sent(ask.request);
        let (live, pool) = (live.clone(), pool.clone());
        ex.spawn(async move {
            for _ in 0..=MAX_RETRIES {
                if try_once(&live, &pool, router, ask).await != Some(Answer::Throttled) {
                    return;
                }
                rest(RETRY_DELAY).await;
            }
        })
        .detach();
    }
}

/// One command with an id of its own. `None` if it came to no answer.
async fn try_once(live: &Shared, pool: &Pool, own: usize, ask: ClientCommand) -> Option<Answer> {
    let up = live.processes.borrow().up();
    let router = match up.contains(&own) {
        true => own,
        false if up.is_empty() => return None,
        false => up[live.rng.borrow_mut().random_range(0..up.len())],
    };
    let epoch = live.processes.borrow().epoch(router);
    let fits = |(at, life, _): &(usize, u32, _)| (*at, *life) == (router, epoch);
    pool.borrow_mut().retain(|kept| live.processes.borrow().epoch(kept.0) == kept.1);
    let found = pool.borrow().iter().position(fits);
    let mut kept = found.map(|nth| pool.borrow_mut().swap_remove(nth).2);
    let number = live.number();
    let patience = Duration::from_millis(live.trial.timeout_ms);
    let statement = match ask.write {
        true => format!(r"INSERT INTO facts (code, data) VALUES ('{number:016x}', '\x9f03') RETURNING data"),
        false => format!("SELECT data FROM facts WHERE code = '{number:016x}'"),
    };
    let name = if ask.write { "write" } else { "read" };
    let (d, group) = (live.trial.timeout_ms, ask.shard);
    let text = format!("/* id={number:016x},c={name},d={d},cluster={group} */ {statement}\0");
    let at = live.processes.borrow().address(router);
    let mut again = kept.is_some();
    let began = now();
    let mut taken = false;
    let answer = async {
        loop {
            let mut stream = match kept.take() {
                Some(stream) => stream,
                None => routers::connect(at).await.ok()?,
            };
            if !taken {
                taken = true;
                live.processes.borrow_mut().takes(router, number);
                live.ledger.borrow_mut().command_received(number, ask.request, ask.write, now() + patience);
            }
            let sent = stream.write_all(&message(b'Q', text.as_bytes())).await;
            let mut got = None;
            let mut begun = false;
            while sent.is_ok() {
                let Ok((kind, body)) = read(&mut stream).await else { break };
                begun = true;
                match kind {
                    b'Z' => {
                        let stays = live.processes.borrow().epoch(router) == epoch;
                        if stays {
                            pool.borrow_mut().push((router, epoch, stream));
                        }
                        return Some(got.unwrap_or(Answer::Failed));
                    }
                    b'D' => got = Some(Answer::Answered),
                    b'E' => {
                        let told = |code: &[u8]| body.windows(code.len()).any(|part| part == code);
                        let throttled = told(b"C53300\0") || told(b"C57P03\0");
                        got = Some(if throttled { Answer::Throttled } else { Answer::Failed });
                    }
                    _ => {}
                }
            }
            // The router may have closed an idle connection as the command was on its way.
            if !again || begun || now() - began > patience {
                return got;
            }
            again = false;
        }
    };
    let late = async {
        Timer::after(StdDuration::from_micros(
            (patience + super::SLACK + Duration::from_millis(100)).as_micros(),
        ))
        .await;
        None
    };
    let answer = future::or(answer, late).await;
    let living = live.processes.borrow().epoch(router) == epoch;
    match answer {
        Some(answer) if living => live.ledger.borrow_mut().answer_received(number, now(), answer),
        _ if !living => live.ledger.borrow_mut().router_lost(number),
        _ => {}
    }
    live.processes.borrow_mut().ended_with(router, number);
    answer
}
