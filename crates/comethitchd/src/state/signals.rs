//! Signals between tasks of the one thread: a one-shot event, and the requests to close a client's connection or to
//! cancel its request.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// An event that is set once and stays set; any number of tasks can wait for it. Clones share one event.
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
    /// Sets the event and wakes every task that waits for it.
    pub fn set(&self) {
        self.sender.close();
    }

    /// Whether the event is set.
    pub fn is_set(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the event is set.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// When a connection is to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRequest {
    /// It may stay open.
    #[default]
    Never,
    /// Once no request is in progress or has begun to come in.
    WhenIdle,
    /// At once.
    Now,
}

/// The requests made to one client connection. Only the connection's own task waits on it, many times over its
/// life, so that waiting costs nothing while nothing is requested.
#[derive(Default)]
pub struct ConnectionSignal {
    /// Whoever presents this key may cancel the connection's request.
    pub cancel_key: u32,
    close: Cell<CloseRequest>,
    cancelled: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionSignal {
    /// A signal with nothing requested.
    pub fn new(cancel_key: u32) -> ConnectionSignal {
        ConnectionSignal { cancel_key, ..ConnectionSignal::default() }
    }

    /// Requests a close; the most urgent request made so far holds.
    pub fn request_close(&self, close: CloseRequest) {
        self.close.set(self.close.get().max(close));
        self.wake();
    }

    /// A new request begins: a cancellation of an earlier one does not concern it.
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

    /// The most urgent close requested so far.
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
