//! Tests of the time for which a client waits, with and without a timeout in its request.

use super::*;

/// Settings with one handler whose timeout is 8 s. `CARRIES` is replaced by whether requests carry a timeout.
const SETTINGS: &str = r#"{"classes": [
 {"name": "quote", "aim_us": 2000000, "hard_limit_us": 8000000, "importance": 1.0, "effect": "read_like"}],
 "tenants": [], "family_info": {"n_cores": 4, "memory_kb": 4000.0, "blowup": 4.0, "key_kb": 2.0,
  "preemption": "freeze", "below": "one_for_all", "dep_share": 8.0, "share_span_us": 5000000, "linger_us": 200000,
  "class_calls": [false], "class_skip_worth": [0.0], "passes_deadline": CARRIES, "readiness": true,
  "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 5.0, "drain_grace_us": 2000000}, "servers": 3}"#;
/// The time at which requests reach the machine, in Unix milliseconds.
const ARRIVED_MS: u64 = 1_764_576_000_000;

/// Returns how long the client of a request waits that is read after `read_delay` and carries a timeout of 500 ms.
fn client_waits(carries: bool, read_delay: Duration) -> Duration {
    let text = SETTINGS.replace("CARRIES", &carries.to_string());
    let settings = madderbay_settings::read(text.as_bytes()).expect("settings");
    let mut validator = RequestValidator::new(&settings);
    let keys = IdempotencyTable::new(&settings, 0);
    let params = format!(
        "{{\"ref\":\"00000000000000af\",\"since\":{ARRIVED_MS},\"sender\":4,\"allow\":500,\"room\":1.0,\
         \"bytes\":\"QUJD\"}}"
    );
    let params = JsonObject::read(&params).expect("an object");
    let now = Timestamp::from_micros(ARRIVED_MS * 1_000) + read_delay;
    let handler = validator.handler("quote").expect("known");
    let request = validator.validate(now, handler, &params, &keys);
    request.expect("valid").client_waits
}

/// Guards against treating an expired timeout as a missing one: the answer then waited 2 s for the disk.
#[test]
fn client_with_expired_timeout_does_not_wait() {
    let late = client_waits(true, Duration::from_millis(900));
    assert_eq!(late, Duration::ZERO);
    let in_time = client_waits(true, Duration::from_millis(100));
    assert_eq!(in_time, Duration::from_millis(400));
}

/// Where requests carry no timeout, the wait follows the handler's timeout, as the deadline of the decision module
/// does.
#[test]
fn client_without_timeout_waits_for_the_timeout_of_its_handler() {
    let waits = client_waits(false, Duration::from_millis(900));
    assert_eq!(waits, Duration::from_millis(7_100));
}
