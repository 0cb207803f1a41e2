//! A gate that blocks the script of a host until the test opens it.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The waiting side of a gate.
pub(crate) struct Gate(Mutex<Receiver<()>>);

/// Creates a gate. Each message on the sender releases one waiter.
pub(crate) fn gate() -> (Sender<()>, Gate) {
    let (opener, opened) = channel();
    (opener, Gate(Mutex::new(opened)))
}

impl Gate {
    /// Waits until the gate is opened.
    ///
    /// # Panics
    ///
    /// Panics if the test drops the sender first.
    pub(crate) fn wait(&self) {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
            .recv()
            .expect("the test opens the gate");
    }
}
