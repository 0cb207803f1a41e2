//! An answer that is passed on while it still comes: past a bound its parts go to the client one by one, each once
//! the one before is through, so that memory stays bounded however large it is and however slow its client.
//!
//! What has begun is the command's final answer: the module is told that it was answered, and nothing else is
//! sent for it. If the host fails midway, the client is told by the end of its connection.

use crate::stages::{policy_driver, reply};
use crate::state::host_connection::ConnectionError;
use crate::state::pending_commands::{Reply, ValuePart};
use crate::state::router_state::RouterState;
use async_channel::{Sender, bounded};
use async_io::Timer;
use comethitch_policy::CommandId;
use comethitch_policy::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Up to so many bytes an answer is held whole: until then another host may still answer in place of this one.
pub const HELD_WHOLE: usize = 256 * 1024;

pub struct Flow {
    state: Rc<RouterState>,
    id: CommandId,
    nth: u16,
    parts: RefCell<Option<Sender<ValuePart>>>,
    moved: Cell<Timestamp>,
}

impl Flow {
    pub fn new(state: &Rc<RouterState>, id: CommandId, nth: u16) -> Flow {
        let moved = Cell::new(state.clock.now());
        Flow { state: state.clone(), id, nth, parts: RefCell::default(), moved }
    }

    /// Its first part has gone to the client.
    pub fn begun(&self) -> bool {
        self.parts.borrow().is_some()
    }

    /// Passes a part on; an error if nobody wants it.
    pub async fn pass(&self, bytes: Vec<u8>) -> Result<(), ConnectionError> {
        let parts = self.parts.borrow().clone();
        match parts {
            Some(parts) => {
                parts.send(ValuePart::Bytes(bytes)).await.map_err(|_| ConnectionError::Cancelled)?
            }
            None => {
                let (sender, receiver) = bounded(1);
                if !reply::answer(&self.state, self.id, Reply::Streaming(bytes, receiver)) {
                    return Err(ConnectionError::Cancelled);
                }
                *self.parts.borrow_mut() = Some(sender);
                policy_driver::answer_started(&self.state, self.id, self.nth);
            }
        }
        self.moved.set(self.state.clock.now());
        Ok(())
    }

    /// Passes the last part on.
    pub async fn end(&self, bytes: Vec<u8>) -> Result<(), ConnectionError> {
        self.pass(bytes).await?;
        let parts = self.parts.borrow().clone();
        match parts {
            Some(parts) => parts.send(ValuePart::End).await.map_err(|_| ConnectionError::Cancelled),
            None => Ok(()),
        }
    }

    /// Waits until nothing of what has begun has moved for so long; at once if nothing has begun.
    pub async fn stalled(&self, patience: Duration) {
        while self.begun() {
            let before = self.moved.get();
            Timer::after(patience).await;
            if self.moved.get() == before {
                break;
            }
        }
    }
}
