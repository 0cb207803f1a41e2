//! The executor of the router's tasks on its one thread.
//!
//! It bounds how long a task can keep the others waiting: each poll of a task has a
//! [budget](super::task_budget), and after at most 1 ms and one poll of a task, the thread returns to
//! the reactor, which fires timers and wakes the tasks whose sockets have become ready. Woken tasks are polled
//! in order.

use super::task_budget::BudgetGuard;
use async_executor::{LocalExecutor, Task};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::time::{Duration, Instant};

/// Time after which the thread returns to the reactor even if tasks are ready. It is short compared to the
/// interval of the policy's ticks and to the 15 ms of lateness that count as a stall.
const MAX_TURN: Duration = Duration::from_millis(1);

/// The tasks of a router, which all run on one thread.
#[derive(Default)]
pub struct TaskExecutor {
    tasks: LocalExecutor<'static>,
}

impl TaskExecutor {
    /// Spawns a task. Dropping its handle cancels it.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.tasks.spawn(future)
    }

    /// Runs all tasks until `main` completes. It must be run by [`async_io::block_on`], which polls the reactor
    /// whenever this future is pending.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        let mut main = pin!(main);
        let limited_main = poll_fn(|context| {
            let _budget = BudgetGuard::new();
            main.as_mut().poll(context)
        });
        limited_main.or(self.run_tasks()).await
    }

    /// Polls tasks in the order in which they became ready; never completes.
    async fn run_tasks<T>(&self) -> T {
        let turn_started = Cell::new(Instant::now());
        let mut turns = pin!(async {
            loop {
                self.poll_one_task().await;
                if turn_started.get().elapsed() >= MAX_TURN {
                    yield_now().await;
                }
            }
        });
        poll_fn(|context| {
            turn_started.set(Instant::now());
            turns.as_mut().poll(context)
        })
        .await
    }

    /// Waits until a task is ready, and polls it once with a budget of its own.
    async fn poll_one_task(&self) {
        let mut tick = pin!(self.tasks.tick());
        poll_fn(|context| {
            let _budget = BudgetGuard::new();
            tick.as_mut().poll(context)
        })
        .await;
    }
}
