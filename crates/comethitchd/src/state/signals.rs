//! Signals between tasks of the same thread: one-shot events, and requests to close a client's connection or
//! to cancel its request.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// An event that is set once and stays set. Any number of tasks may wait for it. Clones share one event.
#[derive(Clone)]
pub struct OneShotEvent {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for OneShotEvent {
    fn default() -> OneShotEvent {
        let (sender, receiver) = async_channel::bounded(1);
        OneShotEvent { sender, receiver }
    }
}

impl OneShotEvent {
    /// Sets the event and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Returns whether the event is set.
    pub fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the event is set.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// How urgently a connection is asked to close, in ascending order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRequest {
    /// No close is requested.
    #[default]
    Never,
    /// Close once no request is in progress or partly received.
    WhenIdle,
    /// Close immediately.
    Now,
}

/// Requests to one client connection to close or to cancel its request.
///
/// Only the connection's own task may wait on it. There is only one waker, so that waiting allocates no
/// memory.
#[derive(Default)]
pub struct ConnectionSignal {
    /// The key that a client must present to cancel the connection's request.
    pub cancel_key: u32,
    close: Cell<CloseRequest>,
    cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionSignal {
    /// Creates a signal with nothing requested.
    pub fn new(cancel_key: u32) -> ConnectionSignal {
        ConnectionSignal { cancel_key, ..ConnectionSignal::default() }
    }

    /// Requests a close. An earlier request that is more urgent stays in effect.
    pub fn request_close(&self, close: CloseRequest) {
        self.close.set(self.close.get().max(close));
        self.wake();
    }

    /// Clears the cancellation of an earlier request when a new one begins.
    pub fn reset_cancel(&self) {
        self.cancelled.set(false);
    }

    /// Cancels the request in progress, if there is one.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake();
    }

    /// Waits until the request in progress is cancelled.
    pub async fn wait_for_cancel(&self) {
        self.wait_until(|| self.cancelled.get()).await;
    }

    /// Returns the most urgent close that was requested so far.
    pub fn close_requested(&self) -> CloseRequest {
        self.close.get()
    }

    /// Waits until a close at least this urgent is requested.
    pub async fn wait_for_close(&self, close: CloseRequest) {
        self.wait_until(|| self.close.get() >= close).await;
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    async fn wait_until(&self, is_met: impl Fn() -> bool) {
        poll_fn(|context| {
            if is_met() {
                return Poll::Ready(());
            }
            let mut waker = self.waker.borrow_mut();
            if !waker.as_ref().is_some_and(|waker| waker.will_wake(context.waker())) {
                *waker = Some(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}
