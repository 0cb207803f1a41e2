//! Tests of `system_calls`.

use super::*;

#[test]
fn every_setting_is_read_and_written_unchanged() {
    let settings = "seed=7,interrupt=30,short=7,socket=30,socket_first=2,accept=30,connect=30,wait=30,hold=150,\
                    hold_ms=120,stderr=3,wall_ms=-5000,mend_ms=3000,step_ms=3600000,step_every_ms=1500,share=10,\
                    from_ms=100,until_ms=900";
    for text in ["", "wall_ms=-3600000", "seed=1,share=10,interrupt=50", settings] {
        assert_eq!(text.parse::<SystemCallFaults>().unwrap().to_string(), text);
    }
}

#[test]
fn settings_that_the_library_ignores_are_errors() {
    let error = |text: &str| text.parse::<SystemCallFaults>().unwrap_err().to_string();
    assert!(error("interupt=3").contains("\"interupt\""));
    assert!(error("interrupt=often").contains("interrupt=often"));
    assert!(error("mend_ms=3").contains("mend_ms"));
    assert!(error("hold=3,short=2").contains("\"hold_ms\" is missing"));
}

#[test]
fn delayed_writes_and_a_limited_processor_are_recognized() {
    let faults = |text: &str| text.parse::<SystemCallFaults>().unwrap();
    assert!(faults("hold=150,hold_ms=120,stderr=3").delays_writes() && !faults("short=3").delays_writes());
    assert!(faults("share=4").limits_processor() && !faults("short=3").limits_processor());
    assert!(faults("").is_empty());
}
