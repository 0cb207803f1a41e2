//! The budget for a shard's health checks: requests of the shard add to it, and health checks are charged to
//! it.

/// The number of health checks that may still be sent to the members of a shard, including a fraction of one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthCheckBudget {
    available_checks: f64,
}

impl HealthCheckBudget {
    /// Adds health checks, up to a total of `max`.
    pub(crate) fn deposit(&mut self, checks: f64, max: f64) {
        self.available_checks = (self.available_checks + checks).min(max);
    }

    /// Adds one health check, for a new member of the shard.
    pub(crate) fn add_one(&mut self) {
        self.available_checks += 1.0;
    }

    /// Charges one health check if the budget covers it, and returns whether it does.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let is_covered = self.available_checks >= 1.0;
        if is_covered {
            self.available_checks -= 1.0;
        }
        is_covered
    }

    /// Empties the budget, for a health check that is sent although the budget does not cover it.
    pub(crate) fn clear(&mut self) {
        self.available_checks = 0.0;
    }
}
