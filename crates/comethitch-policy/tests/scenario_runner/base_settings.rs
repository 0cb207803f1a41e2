//! The settings that scenarios start from.

/// A request class, in the words of the settings.
pub(super) struct ClassSettings {
    pub(super) name: &'static str,
    consistency: &'static str,
    idempotency: &'static str,
    deduplication_scope: &'static str,
    latency_objective_ms: u64,
    timeout_ms: u64,
}

const fn class(
    name: &'static str, [consistency, idempotency, deduplication_scope]: [&'static str; 3],
    latency_objective_ms: u64, timeout_ms: u64,
) -> ClassSettings {
    ClassSettings { name, consistency, idempotency, deduplication_scope, latency_objective_ms, timeout_ms }
}

pub(super) const CLASSES: [ClassSettings; 7] = [
    class("bounded", ["bounded", "repeatable", "all"], 250, 600),
    class("fresh", ["fresh", "repeatable", "all"], 250, 750),
    class("mutating", ["write", "once", "all"], 300, 3000),
    class("keyed", ["write", "by_key", "cell"], 1000, 5000),
    class("everywhere", ["write", "by_key", "all"], 1000, 5000),
    class("any", ["any", "repeatable", "all"], 400, 1500),
    class("session", ["session", "repeatable", "all"], 400, 1500),
];

/// Returns the lines of a start message.
pub(super) fn base_settings() -> String {
    let mut text = String::from(
        "domain.guards=off\ndomain.tokens=carried\nload_info.names=x0,x1\nsiblings=2\ntick_us=5000\n\
         permissions.cancel=true\npermissions.may_probe=true\npermissions.second_copies=true\n\
         permissions.max_attempts=6\npermissions.retry_after=true\npermissions.max_retry_after_us=2000000\n\
         permissions.connect_timeout_us=250000\nrules.drain_grace_us=1000000\nrules.cold_from=0.2\n\
         rules.warm_within_us=10000000\nrules.fall_multiple=2\nrules.fall_us=1000000\n",
    );
    let consistencies = CLASSES.map(|class| class.consistency).join(",");
    let bounds = CLASSES.map(|class| if class.consistency == "bounded" { "1000000" } else { "0000000" });
    text += &format!("classes.count={}\ndomain.class_read={consistencies}\n", CLASSES.len());
    text += &format!("domain.oldest_data_us={}\n", bounds.join(","));
    for (number, class) in CLASSES.iter().enumerate() {
        let ClassSettings { idempotency, deduplication_scope, latency_objective_ms, timeout_ms, .. } = class;
        text += &format!(
            "classes.{number}.effect={idempotency}\nclasses.{number}.group={deduplication_scope}\n\
             classes.{number}.target_us={latency_objective_ms}000\n\
             classes.{number}.deadline_us={timeout_ms}000\n\
             classes.{number}.value=3\nclasses.{number}.window_us=2000000\n"
        );
    }
    text
}
