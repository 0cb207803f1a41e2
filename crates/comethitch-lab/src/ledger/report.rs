//! What a trial came to: figures over all of the trial and by second, as CSV and as a table.

use std::fmt::{self, Display, Formatter};

/// Over how many seconds the share answered in time is measured before and after a fault.
const RECOVERY_SECONDS: usize = 5;

/// One second of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests first sent in it.
    pub asked: u64,
    /// How many of them were answered within the latency objective, if by a retry.
    pub in_time: u64,
    /// The coefficient of variation of load over usable replicas, as in [`Report`].
    pub variation: f64,
    /// The greatest load over the mean, as in [`Report`].
    pub greatest: f64,
}

/// What a trial came to. Fields have the names of the columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests, their retries not counted.
    pub asked: u64,
    /// The share of requests answered within the latency objective, if by a retry.
    pub in_time: f64,
    /// The share of all requests, retries included, that were throttled.
    pub throttled: f64,
    /// The share of all requests, retries included, that failed.
    pub failed: f64,
    /// The median latency of answered requests, in milliseconds from the request's first request.
    pub p50_ms: f64,
    /// The 99th percentile of the same latency, in milliseconds.
    pub p99_ms: f64,
    /// Health checks for each answered request, over the fleet.
    pub probes: f64,
    /// Connections opened for each answered request, over the fleet.
    pub connections: f64,
    /// The coefficient of variation of the reads for each core that reached usable replicas in a second, mean over the
    /// seconds.
    pub variation: f64,
    /// The greatest of these loads over their mean, mean over the seconds.
    pub greatest: f64,
    /// The most seconds in a row that a usable replica was without a read.
    pub idle: u64,
    /// Violations of rules.
    pub breaks: u64,
    /// The most requests that a warming host got within a window from all routers together, over the most that counts as
    /// chance: above 1 the rule is broken.
    pub cold_most: f64,
    /// The first few violations, in words.
    pub broken: Vec<String>,
    /// By second since the start.
    pub seconds: Vec<(u64, Second)>,
}

impl Report {
    /// The names of the columns of [`Report::csv_row`].
    pub const CSV_HEADER: &str = "asked,in_time,throttled,failed,p50_ms,p99_ms,probes,connections,variation,greatest,idle_s,breaks,cold_most";

    /// Seconds from a fault at `second` until the share answered in time has recovered: the first second from which it
    /// stays within `tolerance` of its mean over the five seconds before the fault, for five seconds. `None` if it
    /// never does.
    ///
    /// ```
    /// use comethitch_lab::ledger::{Report, Second};
    /// let second = |in_time| Second { asked: 100, in_time, ..Second::default() };
    /// let course = [99, 99, 99, 99, 99, 40, 70, 98, 90, 99, 98, 99, 99, 99];
    /// let seconds = (0..).zip(course.map(second)).collect();
    /// let report = Report { seconds, ..Report::default() };
    /// assert_eq!(report.recovery_seconds(5, 0.02), Some(4), "98 came and went again");
    /// ```
    pub fn recovery_seconds(&self, second: u64, tolerance: f64) -> Option<u64> {
        let fault = self.seconds.iter().position(|(index, _)| *index >= second)?;
        let before = in_time_share(&self.seconds[fault.saturating_sub(RECOVERY_SECONDS)..fault]);
        let recovered =
            |second: &(u64, Second)| in_time_share(std::slice::from_ref(second)) >= before - tolerance;
        let mut windows = self.seconds[fault..].windows(RECOVERY_SECONDS);
        let first = windows.position(|window| window.iter().all(recovered))?;
        Some(first as u64)
    }

    /// Every second of it, as CSV with a header.
    pub fn csv_by_second(&self) -> String {
        let mut csv = String::from("second,asked,in_time,variation,greatest\n");
        for (index, second) in &self.seconds {
            let Second { asked, in_time, variation, greatest } = second;
            csv.push_str(&format!("{index},{asked},{in_time},{variation:.3},{greatest:.2}\n"));
        }
        csv
    }

    /// The figures of [`Report::CSV_HEADER`], separated by commas.
    pub fn csv_row(&self) -> String {
        format!(
            "{},{:.4},{:.4},{:.4},{:.1},{:.1},{:.3},{:.3},{:.3},{:.2},{},{},{:.2}",
            self.asked,
            self.in_time,
            self.throttled,
            self.failed,
            self.p50_ms,
            self.p99_ms,
            self.probes,
            self.connections,
            self.variation,
            self.greatest,
            self.idle,
            self.breaks,
            self.cold_most
        )
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let row = self.csv_row();
        for (name, value) in Report::CSV_HEADER.split(',').zip(row.split(',')) {
            writeln!(f, "{name:12} {value:>10}")?;
        }
        self.broken.iter().try_for_each(|violation| writeln!(f, "BROKEN {violation}"))
    }
}

fn in_time_share(seconds: &[(u64, Second)]) -> f64 {
    let asked: u64 = seconds.iter().map(|(_, second)| second.asked).sum();
    let in_time: u64 = seconds.iter().map(|(_, second)| second.in_time).sum();
    in_time as f64 / asked.max(1) as f64
}
