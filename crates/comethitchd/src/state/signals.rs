//! What is waited for and happens once.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Raised once; any number of tasks can wait for it.
#[derive(Clone)]
pub struct OneShotEvent(Sender<()>, Receiver<()>);

impl Default for OneShotEvent {
    fn default() -> OneShotEvent {
        let (sender, receiver) = async_channel::bounded(1);
        OneShotEvent(sender, receiver)
    }
}

impl OneShotEvent {
    pub fn raise(&self) {
        self.0.close();
    }

    pub fn is_raised(&self) -> bool {
        self.0.is_closed()
    }

    pub async fn raised(&self) {
        let _ = self.1.recv().await;
    }
}

/// When a connection is to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRequest {
    #[default]
    Never,
    /// Once nothing of it is in hand or has begun to come in.
    WhenIdle,
    Now,
}

/// What tells one connection to close. One task alone waits for it, many times over its life, so that this
/// costs nothing while nobody asks.
#[derive(Default)]
pub struct ConnectionSignal {
    /// Whoever knows this may cancel the connection's command.
    pub key: u32,
    asked: Cell<CloseRequest>,
    /// The command in hand was cancelled.
    cancel: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionSignal {
    pub fn with(key: u32) -> ConnectionSignal {
        ConnectionSignal { key, ..ConnectionSignal::default() }
    }

    /// Asks for this much, or for more if that was asked before.
    pub fn ask(&self, close: CloseRequest) {
        self.asked.set(self.asked.get().max(close));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// A command begins: what was cancelled before is none of its business.
    pub fn begins(&self) {
        self.cancel.set(false);
    }

    /// Cancels the command in hand, if there is one.
    pub fn cancel(&self) {
        self.cancel.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits until the command that has begun is cancelled.
    pub async fn cancelled(&self) {
        self.until(|| self.cancel.get()).await;
    }

    pub fn asked(&self) -> CloseRequest {
        self.asked.get()
    }

    /// Waits until it is asked for this much.
    pub async fn reaches(&self, close: CloseRequest) {
        self.until(|| self.asked.get() >= close).await;
    }

    async fn until(&self, come: impl Fn() -> bool) {
        poll_fn(|context| {
            if come() {
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
