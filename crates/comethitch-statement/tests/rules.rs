//! The assignment of statements by the operator's rules, and the rejection of invalid rules.

use comethitch_policy::time::{Duration, Timestamp};
use comethitch_policy::{Consistency, DeduplicationScope, Idempotency, RequestClass};
use comethitch_statement::admission::{
    AdmittedStatement, StatementAdmission, StatementHints, StatementRejection, VerdictSource,
};
use comethitch_statement::assign::{AssignmentError, fnv1a};
use comethitch_statement::{Rules, RulesError, Secret};
use serde_json::{Value, json};

fn classes() -> (Vec<RequestClass>, Vec<String>) {
    let class = |idempotency, consistency| RequestClass {
        latency_objective: Duration::from_millis(250),
        timeout: Duration::from_millis(600),
        priority_weight: 1.0,
        idempotency,
        deduplication_scope: DeduplicationScope::Shard,
        deduplication_window: Duration::ZERO,
        consistency,
    };
    let all = [
        ("read", class(Idempotency::Idempotent, Consistency::BoundedStaleness(Duration::from_secs(3)))),
        ("fresh", class(Idempotency::Idempotent, Consistency::Strong)),
        ("heavy", class(Idempotency::Idempotent, Consistency::Eventual)),
        ("locked", class(Idempotency::Idempotent, Consistency::Write)),
        ("keyed", class(Idempotency::Keyed, Consistency::Write)),
        ("write", class(Idempotency::NonIdempotent, Consistency::Write)),
    ];
    all.into_iter().map(|(name, class)| (class, name.to_string())).unzip()
}

fn rules() -> Value {
    json!({
        "dialect": "postgres",
        "disagreement": "refuse",
        "commentless": {"wait_ms": 900},
        "groups": [
            {"group": "fresh", "effects": ["read"], "tables": ["saldos"]},
            {"group": "heavy", "effects": ["read"], "from_ms": 50.0},
            {"group": "read", "effects": ["read"]},
            {"group": "locked", "effects": ["locking_read"]},
            {"group": "keyed", "effects": ["write"], "tables": ["marcas"]},
            {"group": "write", "effects": ["write", "unknown"]}
        ],
        "keys": [
            {"tables": ["facts"], "column": "code", "spread": {"hash": [4, 5, 6]}},
            {"tables": ["saldos"], "column": "lector",
             "spread": {"range": [{"below": "m", "hosts": 1}, {"hosts": 2}]}}
        ],
        "elsewhere": 9
    })
}

fn admission(rules: &Value) -> Result<StatementAdmission, RulesError> {
    let rules: Rules = serde_json::from_value(rules.clone()).expect("the rules have the form of the schema");
    let (classes, names) = classes();
    StatementAdmission::new(rules, &classes, &names, Secret([3; 16]), Timestamp::ZERO)
}

fn admit(
    admission: &mut StatementAdmission, text: &str, class: Option<&str>,
) -> Result<AdmittedStatement, StatementRejection> {
    let class = class
        .map(|class| classes().1.iter().position(|name| name == class).expect("the request class exists"));
    admission.admit(text.as_bytes(), StatementHints { class, shard: None }, 1, &|| Timestamp::ZERO)
}

#[test]
fn rules_assign_statements_to_class_and_shard() {
    let mut admission = admission(&rules()).expect("the rules are valid");
    let hashed = |key: &str| [4, 5, 6][(fnv1a(key.as_bytes()) % 3) as usize];
    for (text, class, shard) in [
        ("SELECT data FROM facts WHERE code = 'k1'", "read", hashed("k1")),
        ("SELECT data FROM facts WHERE code = 'it''s'", "read", hashed("it's")),
        ("SELECT data FROM facts WHERE code IN (17, '17')", "read", hashed("17")),
        ("SELECT * FROM saldos WHERE lector = 'ana'", "fresh", 1),
        ("SELECT * FROM saldos s JOIN series x ON x.id = s.id WHERE s.lector = 'zoe'", "fresh", 2),
        ("SELECT * FROM facts WHERE code = 'a' FOR UPDATE", "locked", hashed("a")),
        ("INSERT INTO marcas VALUES (1)", "keyed", 9),
        ("UPDATE saldos SET n = 1 WHERE lector = 'ana'", "write", 1),
        ("SELECT CAST(a AS precio) FROM series", "write", 9),
    ] {
        let admitted = admit(&mut admission, text, None).expect(text);
        assert_eq!(
            (classes().1[admitted.assignment.class].as_str(), admitted.assignment.shard),
            (class, shard),
            "{text}"
        );
    }
}

#[test]
fn session_is_the_hash_of_the_key_not_of_the_first_literal() {
    let mut admission = admission(&rules()).expect("the rules are valid");
    let mut session = |text: &str| admit(&mut admission, text, None).expect(text).assignment.session;
    let ana = Some(fnv1a(b"ana"));
    assert_eq!(session("UPDATE saldos SET nota = 'x' WHERE lector = 'ana'"), ana);
    assert_eq!(session("SELECT n FROM saldos WHERE nota <> 'y' AND lector = 'ana'"), ana);
    assert_eq!(session("SELECT n FROM saldos WHERE lector IN ('ana', 'eva')"), None);
    assert_eq!(session("SELECT 'ana' FROM series"), None);
}

#[test]
fn statements_for_several_shards_or_none_are_rejected() {
    let mut admission = admission(&rules()).expect("the rules are valid");
    for (text, message) in [
        ("SELECT data FROM facts WHERE code IN ('a', 'b', 'c', 'd', 'e', 'f')", "groups of hosts"),
        (
            "SELECT * FROM saldos a, saldos b WHERE a.lector = 'ana' AND b.lector = 'zoe'",
            "groups of hosts 1 and 2",
        ),
        ("SELECT data FROM facts", "facts lies by code"),
        ("SELECT data FROM facts WHERE code = $1", "facts lies by code"),
        ("SELECT data FROM facts WHERE code = 007", "facts lies by code"),
        ("SELECT data FROM facts WHERE code = - 7", "facts lies by code"),
        ("SELECT 1 FROM saldos WHERE lector = 'ana' OR true", "saldos lies by lector"),
        ("SELECT 'unterminated", "has no end"),
        ("BEGIN", "transactions"),
        ("SHOW work_mem", "no rule"),
    ] {
        let Err(StatementRejection::Rejected(error)) = admit(&mut admission, text, None) else {
            panic!("{text} was not rejected")
        };
        assert!(error.to_string().contains(message), "{text}: {error}");
    }
}

#[test]
fn comment_may_name_a_stricter_class_but_not_a_laxer_one() {
    let mut admission = admission(&rules()).expect("the rules are valid");
    for (text, class, is_allowed) in [
        ("SELECT 1", "read", true),
        ("SELECT 1", "write", true),
        ("SELECT 1 FROM series FOR SHARE", "read", false),
        ("SELECT 1 FROM series FOR SHARE", "locked", true),
        ("DELETE FROM series", "locked", false),
        ("DELETE FROM series", "keyed", true),
        ("SELECT CAST(a AS precio) FROM series", "keyed", false),
        ("SELECT CAST(a AS precio) FROM series", "write", true),
        ("DELETE FROM series", "fresh", false),
    ] {
        match admit(&mut admission, text, Some(class)) {
            Ok(admitted) => assert!(is_allowed && !admitted.assignment.raised, "{text} as {class}"),
            Err(StatementRejection::Rejected(AssignmentError::EffectNotAllowed { .. })) => {
                assert!(!is_allowed, "{text} as {class}");
            }
            Err(other) => panic!("{text} as {class}: {other:?}"),
        }
    }
}

#[test]
fn costly_shape_moves_to_the_class_for_expensive_reads() {
    let mut admission = admission(&rules()).expect("the rules are valid");
    let text = "SELECT * FROM series WHERE titulo LIKE 'x%'";
    let admitted = admit(&mut admission, text, None).expect("the statement is admitted");
    assert_eq!(classes().1[admitted.assignment.class], "read");
    (0..30).for_each(|_| admission.record_latency(&admitted.shape, Duration::from_millis(400)));
    let other = admit(&mut admission, "select * from SERIES where titulo like 'another%'", None)
        .expect("the statement is admitted");
    assert_eq!(
        (classes().1[other.assignment.class].as_str(), other.source),
        ("heavy", VerdictSource::CacheHit)
    );
}

#[test]
fn statement_beyond_the_budget_is_unknown_or_throttled() {
    for beyond in ["cautious", "throttle"] {
        let mut with_budget = rules();
        with_budget["parsing"] = json!({"core_part": 0.001, "client_part": 0.5, "beyond": beyond});
        let mut admission = admission(&with_budget).expect("the rules are valid");
        let known = "SELECT 1 FROM series WHERE a = 1";
        admit(&mut admission, known, None).expect("the statement is admitted");
        // Each reading of the clock is 50 µs after the previous one.
        let now_us = std::cell::Cell::new(0);
        let clock = || {
            now_us.set(now_us.get() + 50);
            Timestamp::from_micros(now_us.get())
        };
        let hints = |shard| StatementHints { class: None, shard };
        for nth in 0..500 {
            let _ = admission.admit(format!("SELECT c{nth} FROM series").as_bytes(), hints(None), 1, &clock);
        }
        match (beyond, admission.admit(b"SELECT last FROM series", hints(Some(9)), 1, &clock)) {
            ("cautious", Ok(admitted)) => {
                let class = &classes().1[admitted.assignment.class];
                assert_eq!((class.as_str(), admitted.source), ("write", VerdictSource::BudgetExceeded));
                // Without a parse the key is unknown; a retry may be parsed.
                let retried = admission.admit(b"SELECT last FROM series", hints(None), 1, &clock);
                assert_eq!(retried.err(), Some(StatementRejection::Throttled));
            }
            ("throttle", Err(StatementRejection::Throttled)) => {}
            (beyond, other) => panic!("{beyond}: {other:?}"),
        }
        let hit = admit(&mut admission, known, None).expect("cached shapes need no budget");
        assert_eq!(hit.source, VerdictSource::CacheHit);
    }
}

#[test]
fn invalid_rules_are_rejected_with_their_json_key() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut rules = rules();
        change(&mut rules);
        admission(&rules).err().map(|error| error.to_string()).unwrap_or_default()
    };
    let class = |effects: Value, name: &str| json!({"group": name, "effects": effects});
    type Change<'a> = &'a dyn Fn(&mut Value);
    let cases: [(&str, Change<'_>); 16] = [
        ("groups.2.group names an unknown request class: \"x\"", &|r| r["groups"][2]["group"] = "x".into()),
        ("groups.2.effects contains write", &|r| r["groups"][2] = class(json!(["read", "write"]), "read")),
        ("groups.2.effects contains locking_read", &|r| {
            r["groups"][2] = class(json!(["locking_read"]), "fresh");
        }),
        ("groups.2.effects contains write", &|r| r["groups"][2] = class(json!(["write"]), "locked")),
        ("groups.2.effects contains unknown", &|r| r["groups"][2] = class(json!(["unknown"]), "keyed")),
        ("groups.2.effects must contain", &|r| r["groups"][2] = class(json!([]), "write")),
        ("groups must contain at least one rule", &|r| r["groups"] = json!([])),
        ("groups.1.from_ms must be a duration", &|r| r["groups"][1]["from_ms"] = (-1.0).into()),
        ("groups.1.below_ms must be above", &|r| r["groups"][1]["below_ms"] = 3.into()),
        ("keys.0.tables must contain", &|r| r["keys"][0]["tables"] = json!([])),
        ("keys.1.tables contains \"facts\"", &|r| r["keys"][1]["tables"] = json!(["facts"])),
        ("keys.0.spread.hash", &|r| r["keys"][0]["spread"] = json!({"hash": []})),
        ("keys.1.spread.range must end", &|r| {
            r["keys"][1]["spread"] = json!({"range": [{"below": 3, "hosts": 1}]});
        }),
        ("keys.1.spread.range.1.below must be above", &|r| {
            r["keys"][1]["spread"] =
                json!({"range": [{"below": 3, "hosts": 1}, {"below": "a", "hosts": 1}, {"hosts": 1}]});
        }),
        ("cache.kib", &|r| r["cache"] = json!({"kib": 1})),
        ("parsing.core_part", &|r| r["parsing"] = json!({"core_part": 0.0})),
    ];
    for (message, change) in cases {
        let error = with(change);
        assert!(error.contains(message), "{message}: {error:?}");
    }
}

#[test]
fn malformed_rules_are_rejected_with_the_names_of_the_schema() {
    for (key, value, message) in [
        ("commentless", json!(5), "invalid type: integer `5`, expected struct Commentless"),
        ("commentless", json!([]), "invalid length 0, expected struct Commentless with 1 element"),
        ("commentless", json!({}), "missing field `wait_ms`"),
        ("parsing", json!(5), "invalid type: integer `5`, expected struct Parsing"),
        ("parsing", json!({"x": 1}), "expected one of `core_part`, `client_part`, `beyond`"),
        ("disagreement", json!("reject"), "expected `refuse` or `raise`"),
        ("groups", json!([5]), "expected struct GroupRule"),
        ("groups", json!([{}]), "missing field `group`"),
        ("keys", json!([{"tables": [], "column": "a"}]), "missing field `spread`"),
        ("default_shard", json!(1), "unknown field `default_shard`"),
    ] {
        let mut rules = rules();
        rules[key] = value;
        let error = serde_json::from_value::<Rules>(rules).expect_err(message).to_string();
        assert!(error.contains(message), "{key}: {error}");
    }
}
