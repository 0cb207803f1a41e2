//! The cooperative budget of the task that is being polled: how much work it may do before it returns to the
//! executor.
//!
//! A socket whose peer always sends or always reads is ready at any time, so a loop around it would never
//! return to the executor, and all other tasks and timers of the thread would wait for the peer. Reading from a
//! [`Socket`](super::socket::Socket) therefore takes from a budget that each poll of a task starts with. Once
//! the budget is spent, reading is pending until the next poll, which is scheduled at once. As the budget is
//! part of the socket, a new loop can't lack it.
//!
//! Loops that handle what was already read take from the same budget by [`operation`].
//!
//! Outside of a [`TaskExecutor`](super::task_executor::TaskExecutor) there is no limit.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::{Context, Poll, ready};

/// Maximum number of operations in one poll of a task.
const MAX_OPERATIONS_PER_POLL: u32 = 32;
/// Number of transferred bytes that count as one more operation.
const BYTES_PER_OPERATION: usize = 8 * 1024;

thread_local! {
    /// The remaining operations of the task that is being polled; `None` if they are not limited.
    static REMAINING: Cell<Option<u32>> = const { Cell::new(None) };
}

/// Limits the operations on this thread until it is dropped.
pub struct BudgetGuard {
    outer: Option<u32>,
}

impl BudgetGuard {
    /// Starts with the full budget.
    pub fn new() -> BudgetGuard {
        BudgetGuard { outer: REMAINING.replace(Some(MAX_OPERATIONS_PER_POLL)) }
    }
}

impl Default for BudgetGuard {
    fn default() -> BudgetGuard {
        BudgetGuard::new()
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        REMAINING.set(self.outer);
    }
}

/// Returns `Ready` if the task may start another operation. Otherwise wakes the task, so that it is polled
/// again after all others that are ready, and returns `Pending`.
pub fn poll_remaining(context: &Context<'_>) -> Poll<()> {
    if REMAINING.get() == Some(0) {
        context.waker().wake_by_ref();
        return Poll::Pending;
    }
    Poll::Ready(())
}

/// Takes an operation that has transferred this many bytes from the budget.
pub fn charge(bytes: usize) {
    let operations = 1 + bytes / BYTES_PER_OPERATION;
    let operations = u32::try_from(operations).unwrap_or(u32::MAX);
    REMAINING.set(REMAINING.get().map(|remaining| remaining.saturating_sub(operations)));
}

/// Waits until the task may start another operation, and takes it from the budget.
pub async fn operation() {
    poll_fn(|context| {
        ready!(poll_remaining(context));
        charge(0);
        Poll::Ready(())
    })
    .await;
}
