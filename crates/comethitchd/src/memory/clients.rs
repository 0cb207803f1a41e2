//! Descriptors, and the connections of clients that hold most of them.

use crate::memory::flag::Flag;
use comethitch::time::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How many descriptors one kind of connection may use, and how many it does.
pub struct Descriptors {
    most: usize,
    used: Rc<Cell<usize>>,
}

/// The right to one descriptor, given back when dropped.
pub struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Descriptors {
    pub fn new(most: usize) -> Descriptors {
        Descriptors { most, used: Rc::default() }
    }

    pub fn take(&self) -> Option<Permit> {
        let used = self.used.get();
        (used < self.most).then(|| {
            self.used.set(used + 1);
            Permit(self.used.clone())
        })
    }

    pub fn most(&self) -> usize {
        self.most
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// A client's connection: since when it is idle, if it is, and what closes it.
type Open = (Option<Time>, Flag);

/// The clients' open connections.
#[derive(Default)]
pub struct Clients {
    next: Cell<u32>,
    open: RefCell<BTreeMap<u32, Open>>,
}

impl Clients {
    /// Enters a connection; what it returns is raised when the connection should close.
    pub fn enter(&self) -> (u32, Flag) {
        let close = Flag::default();
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        self.open.borrow_mut().insert(number, (None, close.clone()));
        (number, close)
    }

    pub fn leave(&self, number: u32) {
        self.open.borrow_mut().remove(&number);
    }

    pub fn idles(&self, number: u32, since: Option<Time>) {
        if let Some(client) = self.open.borrow_mut().get_mut(&number) {
            client.0 = since;
        }
    }

    /// Asks the connection that has been idle longest to close.
    pub fn shed(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter(|(since, close)| since.is_some() && !close.is_raised());
        if let Some((_, close)) = idle.min_by_key(|(since, _)| *since) {
            close.raise();
        }
    }

    /// Asks every connection to close once it has nothing in hand.
    pub fn close_all(&self) {
        self.open.borrow().values().for_each(|(_, close)| close.raise());
    }

    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
