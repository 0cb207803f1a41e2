//! Something that happens once, and is waited for.

use async_channel::{Receiver, Sender};

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
