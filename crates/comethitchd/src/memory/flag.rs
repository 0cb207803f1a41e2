//! What is waited for and happens once.

use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Raised once; any number of tasks can wait for it.
#[derive(Clone)]
pub struct Flag(Sender<()>, Receiver<()>);

impl Default for Flag {
    fn default() -> Flag {
        let (sender, receiver) = async_channel::bounded(1);
        Flag(sender, receiver)
    }
}

impl Flag {
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
pub enum Close {
    #[default]
    Never,
    /// Once nothing of it is in hand or has begun to come in.
    AtRest,
    Now,
}

/// What tells one connection to close. One task alone waits for it, many times over its life, so that this
/// costs nothing while nobody asks.
#[derive(Default)]
pub struct Notice {
    asked: Cell<Close>,
    waker: RefCell<Option<Waker>>,
}

impl Notice {
    /// Asks for this much, or for more if that was asked before.
    pub fn ask(&self, close: Close) {
        self.asked.set(self.asked.get().max(close));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub fn asked(&self) -> Close {
        self.asked.get()
    }

    /// Waits until it is asked for this much.
    pub async fn reaches(&self, close: Close) {
        poll_fn(|context| {
            if self.asked.get() >= close {
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
