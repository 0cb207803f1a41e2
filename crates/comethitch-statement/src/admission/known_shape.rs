//! The cache's value for each shape.

use crate::Verdict;
use crate::cost::Cost;
use crate::verdict::allocated_bytes;
use std::cell::RefCell;
use std::rc::Rc;

/// A shape's verdict and learned cost.
#[derive(Debug)]
pub struct KnownShape {
    /// The verdict on all statements of the shape.
    pub verdict: Verdict,
    pub(super) cost: RefCell<Cost>,
}

impl KnownShape {
    /// Returns a shape with this verdict, whose cost is not known yet.
    pub(super) fn new(verdict: Verdict) -> Rc<KnownShape> {
        Rc::new(KnownShape { verdict, cost: RefCell::default() })
    }

    /// Returns the bytes that the shape occupies, including reference counts and allocator overhead.
    pub(super) fn memory_bytes(&self) -> usize {
        let reference_counts = 2 * size_of::<usize>();
        // The verdict counts its own size.
        allocated_bytes(size_of::<KnownShape>() + reference_counts) - size_of::<Verdict>()
            + self.verdict.memory_bytes()
    }
}
