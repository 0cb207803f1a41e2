//! The results of a whole trial and of each of its seconds, as CSV and as a table.

use std::fmt::{self, Display, Formatter};

/// Length of the periods before and after a fault over which the in-time fraction is compared, in seconds.
const RECOVERY_SECONDS: usize = 5;

/// One second of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Operations started in it.
    pub operations: u64,
    /// Number of these operations that were answered within the latency objective, retries included.
    pub in_time: u64,
    /// Coefficient of variation of the load over usable replicas, as in [`Report`].
    pub variation: f64,
    /// Ratio of the maximum load to the mean, as in [`Report`].
    pub peak_to_mean: f64,
}

/// Results of a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of operations. CSV column `asked`.
    pub operations: u64,
    /// Fraction of operations answered within the latency objective, retries included.
    pub in_time: f64,
    /// Fraction of requests, retries included, that were throttled.
    pub throttled: f64,
    /// Fraction of requests, retries included, that failed.
    pub failed: f64,
    /// Median latency of answered operations from their first request, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency, in milliseconds.
    pub p99_ms: f64,
    /// Health checks per answered request, over the fleet. CSV column `probes`.
    pub health_checks: f64,
    /// Opened connections per answered request, over the fleet.
    pub connections: f64,
    /// Coefficient of variation of the reads per core over usable replicas in a second; mean over all
    /// seconds.
    pub variation: f64,
    /// Ratio of the maximum of these loads to their mean; mean over all seconds. CSV column `greatest`.
    pub peak_to_mean: f64,
    /// Longest time that a usable replica received no read, in seconds. CSV column `idle_s`.
    pub longest_idle_s: u64,
    /// Number of violations of rules. CSV column `breaks`.
    pub violation_count: u64,
    /// Maximum number of requests that a host received during slow start within an overload window, from all
    /// routers together, as a fraction of the bound on that number. A value above 1 violates
    /// [`Rule::SlowStart`]. CSV column `cold_most`.
    ///
    /// [`Rule::SlowStart`]: super::Rule::SlowStart
    pub peak_warmup_load: f64,
    /// Descriptions of the first violations.
    pub violations: Vec<String>,
    /// Results by second since the start.
    pub seconds: Vec<(u64, Second)>,
}

impl Report {
    /// Names of the columns of [`Report::csv_row`].
    pub const CSV_HEADER: &str = "asked,in_time,throttled,failed,p50_ms,p99_ms,probes,connections,variation,greatest,idle_s,breaks,cold_most";

    /// Returns the number of seconds from a fault at `second` until the in-time fraction has recovered: until
    /// it stays within `tolerance` of its mean over the five seconds before the fault for five seconds.
    /// Returns `None` if it never does.
    ///
    /// ```
    /// use comethitch_lab::ledger::{Report, Second};
    /// let second = |in_time| Second { operations: 100, in_time, ..Second::default() };
    /// let in_time = [99, 99, 99, 99, 99, 40, 70, 98, 90, 99, 98, 99, 99, 99];
    /// let seconds = (0..).zip(in_time.map(second)).collect();
    /// let report = Report { seconds, ..Report::default() };
    /// assert_eq!(report.recovery_seconds(5, 0.02), Some(4), "the first 98 does not last");
    /// ```
    pub fn recovery_seconds(&self, second: u64, tolerance: f64) -> Option<u64> {
        let fault = self.seconds.iter().position(|(index, _)| *index >= second)?;
        let before = in_time_fraction(&self.seconds[fault.saturating_sub(RECOVERY_SECONDS)..fault]);
        let recovered =
            |second: &(u64, Second)| in_time_fraction(std::slice::from_ref(second)) >= before - tolerance;
        let mut windows = self.seconds[fault..].windows(RECOVERY_SECONDS);
        let first = windows.position(|window| window.iter().all(recovered))?;
        Some(first as u64)
    }

    /// Returns the results of each second as CSV with a header.
    pub fn csv_by_second(&self) -> String {
        let mut csv = String::from("second,asked,in_time,variation,greatest\n");
        for (index, second) in &self.seconds {
            let Second { operations, in_time, variation, peak_to_mean } = second;
            csv.push_str(&format!("{index},{operations},{in_time},{variation:.3},{peak_to_mean:.2}\n"));
        }
        csv
    }

    /// Returns the values of the columns of [`Report::CSV_HEADER`], separated by commas.
    pub fn csv_row(&self) -> String {
        format!(
            "{},{:.4},{:.4},{:.4},{:.1},{:.1},{:.3},{:.3},{:.3},{:.2},{},{},{:.2}",
            self.operations,
            self.in_time,
            self.throttled,
            self.failed,
            self.p50_ms,
            self.p99_ms,
            self.health_checks,
            self.connections,
            self.variation,
            self.peak_to_mean,
            self.longest_idle_s,
            self.violation_count,
            self.peak_warmup_load
        )
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let row = self.csv_row();
        for (name, value) in Report::CSV_HEADER.split(',').zip(row.split(',')) {
            writeln!(f, "{name:12} {value:>10}")?;
        }
        self.violations.iter().try_for_each(|violation| writeln!(f, "BROKEN {violation}"))
    }
}

fn in_time_fraction(seconds: &[(u64, Second)]) -> f64 {
    let operations: u64 = seconds.iter().map(|(_, second)| second.operations).sum();
    let in_time: u64 = seconds.iter().map(|(_, second)| second.in_time).sum();
    in_time as f64 / operations.max(1) as f64
}
