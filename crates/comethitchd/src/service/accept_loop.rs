//! Accepts clients' connections and starts a task for each.

use crate::state::protocol::ClientProtocol;
use crate::state::router_state::RouterState;
use async_io::{Async, Timer};
use std::future::{Future, poll_fn};
use std::net::TcpListener;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Delay before accepting again after a failure, or while no descriptor is free. It is short because clients' time
/// counts from the moment they connect.
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
    let mut failures_in_row = 0;
    loop {
        let Some(permit) = state.clients.acquire_descriptor(state.clock.now()) else {
            // An idle client may still send a request: it is closed only once another client waits for its place.
            if listener.readable().await.is_ok() {
                state.clients.make_room_for_waiting_client(state.clock.now());
            }
            Timer::after(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                failures_in_row = 0;
                state.tasks.spawn(protocol.serve(state.clone(), stream, permit)).detach();
            }
            Err(error) => {
                // A shortage may last for many attempts: only the first failure in a row is logged.
                if failures_in_row == 0 {
                    log::warn!(error:%; "accept failed, retrying");
                }
                failures_in_row += 1;
                state.metrics.accepts_failed.increment();
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
