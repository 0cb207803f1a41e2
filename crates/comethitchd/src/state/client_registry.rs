//! Descriptors, and the connections of clients that hold most of them.

use crate::state::signals::{CloseRequest, ConnectionSignal};
use comethitch_policy::time::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// How many descriptors one kind of connection may use, and how many it does.
pub struct DescriptorLimit {
    most: usize,
    used: Rc<Cell<usize>>,
}

/// The right to one descriptor, given back when dropped.
pub struct DescriptorPermit(Rc<Cell<usize>>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DescriptorLimit {
    pub fn new(most: usize) -> DescriptorLimit {
        DescriptorLimit { most, used: Rc::default() }
    }

    pub fn take(&self) -> Option<DescriptorPermit> {
        let used = self.used.get();
        (used < self.most).then(|| {
            self.used.set(used + 1);
            DescriptorPermit(self.used.clone())
        })
    }

    pub fn most(&self) -> usize {
        self.most
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// It was told an error that ends it, and what it still sends is dropped.
    Closing,
    /// Its first command, or the rest of a command that has begun, is waited for.
    Reading,
    /// It has been answered, and has begun nothing since.
    Idle,
    /// A command of its own is in hand.
    Busy,
}

struct Open {
    stage: ConnectionPhase,
    since: Timestamp,
    notice: Rc<ConnectionSignal>,
}

/// For how long a connection may be at a stage.
pub struct IdleTimeouts {
    /// Until a whole command has come, or while what a lost client still sends is dropped. One that is idle
    /// for as long may be closed.
    pub rest: Duration,
    /// Until one that is idle is closed in any case.
    pub idle: Duration,
    /// In place of `rest`, as descriptors run short or the router stops.
    pub least: Duration,
}

/// The clients' open connections.
pub struct ClientRegistry {
    patience: IdleTimeouts,
    next: Cell<u32>,
    stopping: Cell<bool>,
    open: RefCell<BTreeMap<u32, Open>>,
}

impl ClientRegistry {
    pub fn new(patience: IdleTimeouts) -> ClientRegistry {
        ClientRegistry {
            patience,
            next: Cell::default(),
            stopping: Cell::default(),
            open: RefCell::default(),
        }
    }

    /// Enters a connection; what it returns tells it when to close.
    pub fn enter(&self, now: Timestamp) -> (u32, Rc<ConnectionSignal>) {
        // From the system's own random numbers: nobody else's client may guess it.
        let key = RandomState::new().build_hasher().finish() as u32;
        let notice = Rc::new(ConnectionSignal::with(key));
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        let open = Open { stage: ConnectionPhase::Reading, since: now, notice: notice.clone() };
        self.open.borrow_mut().insert(number, open);
        (number, notice)
    }

    /// Cancels the command in hand on a connection, for whoever knows its key.
    pub fn cancel(&self, number: u32, key: u32) {
        if let Some(open) = self.open.borrow().get(&number).filter(|open| open.notice.key == key) {
            open.notice.cancel();
        }
    }

    pub fn leave(&self, number: u32) {
        self.open.borrow_mut().remove(&number);
    }

    /// Notes what a connection is at; the same stage again does not begin anew.
    pub fn turn(&self, number: u32, stage: ConnectionPhase, now: Timestamp) {
        if let Some(open) = self.open.borrow_mut().get_mut(&number).filter(|open| open.stage != stage) {
            (open.stage, open.since) = (stage, now);
        }
    }

    /// Makes room: by a connection that was told an error, or has not asked for a while, or has been idle long.
    /// Once there is no room left, by one that has hardly had the time to ask; by whichever is idle only if
    /// no connection is new.
    pub fn shed(&self, now: Timestamp, full: bool) {
        let IdleTimeouts { rest, least, .. } = self.patience;
        let open = self.open.borrow();
        let waits = |one: &Open| matches!(one.stage, ConnectionPhase::Reading | ConnectionPhase::Closing);
        let in_use = full && !open.values().any(waits);
        let rank = |one: &Open| {
            let age = now - one.since;
            match one.stage {
                ConnectionPhase::Closing if age >= least => Some(0),
                ConnectionPhase::Reading if age >= least => Some(1),
                ConnectionPhase::Idle if age >= rest => Some(2),
                ConnectionPhase::Reading if full && age >= least / 8 => Some(3),
                ConnectionPhase::Idle if in_use => Some(4),
                _ => None,
            }
        };
        let ready = open.values().filter(|one| one.notice.asked() != CloseRequest::Now);
        let ranked = ready.filter_map(|one| Some((rank(one)?, one.since, &one.notice)));
        if let Some((_, _, notice)) = ranked.min_by_key(|(rank, since, _)| (*rank, *since)) {
            notice.ask(CloseRequest::Now);
        }
    }

    /// Ends connections that have been at one stage for too long.
    pub fn sweep(&self, now: Timestamp) {
        let IdleTimeouts { rest, idle, least } = self.patience;
        for one in self.open.borrow().values() {
            let limit = match one.stage {
                ConnectionPhase::Busy => continue,
                ConnectionPhase::Idle => idle,
                _ if self.stopping.get() => least,
                _ => rest,
            };
            if now - one.since >= limit {
                one.notice.ask(CloseRequest::Now);
            }
        }
    }

    /// Asks every connection to close once it has nothing in hand.
    pub fn close_all(&self) {
        self.stopping.set(true);
        self.open.borrow().values().for_each(|one| one.notice.ask(CloseRequest::WhenIdle));
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
