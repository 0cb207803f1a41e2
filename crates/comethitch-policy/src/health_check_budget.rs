//! The budget of a shard's health checks: its requests add to it, health checks are charged to it.

/// Number of health checks that a shard may still send, in fractions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthCheckBudget {
    available: f64,
}

impl HealthCheckBudget {
    /// Adds health checks, up to a maximum.
    pub(crate) fn deposit(&mut self, checks: f64, max: f64) {
        self.available = (self.available + checks).min(max);
    }

    /// Adds one health check for a new member.
    pub(crate) fn add_one(&mut self) {
        self.available += 1.0;
    }

    /// Takes out one health check, if there is one. Returns whether there was.
    pub(crate) fn withdraw(&mut self) -> bool {
        let available = self.available >= 1.0;
        if available {
            self.available -= 1.0;
        }
        available
    }

    /// Empties the budget, as an unpaid health check was sent.
    pub(crate) fn clear(&mut self) {
        self.available = 0.0;
    }
}
