//! Time constants that several decisions share.

use crate::time::Duration;

/// Interval between two health checks of a host, as specified in `docs/design.md`.
pub(super) const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a health check that returned no load report is repeated, and the interval of urgent health
/// checks.
pub(super) const HEALTH_CHECK_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time without any answer after which a host counts as silent, as specified in `docs/design.md`.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time that the router may stall between the send guard's check and the write that it allows.
pub(super) const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
