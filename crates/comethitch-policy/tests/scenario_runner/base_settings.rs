//! The settings that every scenario starts with, including its request classes.

/// A request class. The fields hold the values of its settings; `name` is its name in scenario files.
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

/// The request classes. Their indices in this array are those in the settings.
pub(super) const CLASSES: [ClassSettings; 7] = [
    class("bounded", ["bounded", "repeatable", "all"], 250, 600),
    class("strong", ["fresh", "repeatable", "all"], 250, 750),
    class("write", ["write", "once", "all"], 300, 3000),
    class("keyed_write", ["write", "by_key", "cell"], 1000, 5000),
    class("global_keyed_write", ["write", "by_key", "all"], 1000, 5000),
    class("eventual", ["any", "repeatable", "all"], 400, 1500),
    class("session", ["session", "repeatable", "all"], 400, 1500),
];

/// Returns the settings as the lines of a start message.
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
    for (index, class) in CLASSES.iter().enumerate() {
        let ClassSettings { idempotency, deduplication_scope, latency_objective_ms, timeout_ms, .. } = class;
        text += &format!(
            "classes.{index}.effect={idempotency}\nclasses.{index}.group={deduplication_scope}\n\
             classes.{index}.target_us={latency_objective_ms}000\n\
             classes.{index}.deadline_us={timeout_ms}000\n\
             classes.{index}.value=3\nclasses.{index}.window_us=2000000\n"
        );
    }
    text
}
