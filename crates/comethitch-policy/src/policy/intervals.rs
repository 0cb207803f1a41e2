//! Time constants that several decisions share.

use crate::time::Duration;

/// How often the health of each host is checked, from the design page.
pub(super) const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How soon a health check that reported nothing is repeated, and the interval of urgent health checks.
pub(super) const HEALTH_CHECK_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a host may leave everything unanswered before it counts as silent, from the design page.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a router may stall between a check and the write that the check allows.
pub(super) const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
