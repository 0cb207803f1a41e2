//! The memory budget that all connection buffers share, which bounds memory use for any number of
//! connections.

use std::cell::Cell;
use std::rc::Rc;

/// The number of bytes that can still be reserved. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// Creates a budget of `bytes`, all of them available.
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Cell::new(bytes)))
    }

    /// Returns the number of bytes that are not reserved.
    pub fn available(&self) -> usize {
        self.0.get()
    }

    /// Replaces a reservation of `reserved` bytes by one of `requested` bytes. Returns false and changes
    /// nothing if the budget does not suffice.
    pub(super) fn exchange(&self, reserved: usize, requested: usize) -> bool {
        let allowed = self.0.get() + reserved >= requested;
        if allowed {
            self.0.set(self.0.get() + reserved - requested);
        }
        allowed
    }
}

/// Bytes reserved from a budget for memory that is not a buffer; released on drop.
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(budget: &MemoryBudget) -> Reservation {
        Reservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows or shrinks the reservation to `bytes`. Returns false and changes nothing if the budget does not
    /// suffice.
    pub fn resize_to(&mut self, bytes: usize) -> bool {
        let allowed = self.budget.exchange(self.bytes, bytes);
        if allowed {
            self.bytes = bytes;
        }
        allowed
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.exchange(self.bytes, 0);
    }
}
