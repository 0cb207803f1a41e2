//! Accepts client connections and starts a task for each.

use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use crate::state::task_budget;
use async_io::{Async, Timer};
use std::future::{Future, poll_fn};
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Delay before accepting again after a failure, or while no descriptor is free. It is short because a
/// client's timeout runs from the moment it connects.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections on all listeners; never completes.
pub(crate) async fn accept_all(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>, listeners: &[Async<TcpListener>],
) {
    let mut acceptors: Vec<_> =
        listeners.iter().map(|listener| Box::pin(accept(state, protocol, listener))).collect();
    poll_fn(|context| -> Poll<()> {
        for acceptor in &mut acceptors {
            let _ = acceptor.as_mut().poll(context);
        }
        Poll::Pending
    })
    .await;
}

async fn accept(
    state: &Rc<RouterState>, protocol: &Rc<dyn ClientProtocol<RouterState>>, listener: &Async<TcpListener>,
) {
    let mut consecutive_failures = 0;
    loop {
        task_budget::operation().await;
        let Some(permit) = state.clients.acquire_descriptor(state.clock.now()) else {
            // An idle connection may still send a request, so it is closed only when another client waits to
            // be accepted.
            if listener.readable().await.is_ok() {
                state.clients.make_room_for_waiting_client(state.clock.now());
            }
            Timer::after(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                consecutive_failures = 0;
                state.tasks.spawn(protocol.serve(state.clone(), stream, permit)).detach();
            }
            Err(error) => {
                // A shortage may last for many attempts: only the first of consecutive failures is logged.
                if consecutive_failures == 0 {
                    log::warn!(error:%; "accept failed, retrying");
                }
                consecutive_failures += 1;
                state.metrics.accepts_failed.increment();
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
