//! The memory budget that all connection buffers share, so that memory use is bounded however many connections
//! there are.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that buffers and reservations may still take. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// A budget of this many bytes, all of them available.
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget(Rc::new(Cell::new(bytes)))
    }

    /// The bytes that are not reserved.
    pub fn available(&self) -> usize {
        self.0.get()
    }

    /// Replaces a reservation of `held` bytes by one of `wanted` bytes, if the budget allows it.
    pub(super) fn exchange(&self, held: usize, wanted: usize) -> bool {
        let allowed = self.0.get() + held >= wanted;
        if allowed {
            self.0.set(self.0.get() + held - wanted);
        }
        allowed
    }
}

/// Bytes reserved from a budget for memory that is not a buffer; given back when this is dropped.
pub struct Reservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation from this budget.
    pub fn new(budget: &MemoryBudget) -> Reservation {
        Reservation { budget: budget.clone(), bytes: 0 }
    }

    /// Grows or shrinks the reservation to this many bytes; false, and no change, if the budget is exhausted.
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
