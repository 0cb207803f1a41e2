//! A gate that holds a host's script until the test opens it.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

/// The side of a gate that waits.
pub(crate) struct Gate(Mutex<Receiver<()>>);

/// Creates a gate. Each message that is sent lets one waiter pass.
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
        self.0.lock().expect("no waiter panics").recv().expect("the test opens the gate");
    }
}
