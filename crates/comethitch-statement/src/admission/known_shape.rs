//! What the cache holds for each shape.

use crate::Verdict;
use crate::cost::Cost;
use crate::verdict::allocated;
use std::cell::RefCell;
use std::rc::Rc;

/// What is known of a shape: its verdict, and what its statements have cost.
#[derive(Debug)]
pub struct KnownShape {
    /// What its statements may do, touch and cost.
    pub verdict: Verdict,
    pub(super) cost: RefCell<Cost>,
}

impl KnownShape {
    pub(super) fn new(verdict: Verdict) -> Rc<KnownShape> {
        Rc::new(KnownShape { verdict, cost: RefCell::default() })
    }

    /// The bytes that it takes, the reference counts and what the allocator adds included.
    pub(super) fn memory_bytes(&self) -> usize {
        allocated(size_of::<KnownShape>() + 2 * size_of::<usize>()) - size_of::<Verdict>()
            + self.verdict.bytes()
    }
}
