//! Checks that the JSON keys of the control protocol stay the same, since operators' scripts read them.

use super::*;
use serde_json::json;

/// Serializes a record to its line, and checks that parsing and serializing the line gives the same text.
fn line<T: Serialize + for<'a> Deserialize<'a>>(record: &T) -> String {
    let line = serde_json::to_string(record).unwrap();
    let read: T = serde_json::from_str(&line).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), line);
    line
}

#[test]
fn subjects_keep_their_words() {
    let words = Subject::ALL.map(Subject::word);
    assert_eq!(words, ["members", "shared", "routes"]);
    let subjects = words.map(Subject::from_word);
    assert_eq!(subjects, Subject::ALL.map(Some));
    assert_eq!(Subject::from_word("quotas"), None);
}

#[test]
fn query_and_error_keep_their_names() {
    let word = "members".into();
    assert_eq!(line(&Query { word }), r#"{"ask":"members"}"#);
    let reason = "no".into();
    assert_eq!(line(&ErrorLine { reason }), r#"{"wrong":"no"}"#);
    assert_eq!(END_LINE, json!({ "end": true }).to_string());
}

#[test]
fn membership_keeps_its_names() {
    let head = MembershipHead {
        name: "n1".into(),
        coverage: "whole".into(),
        since_ms: 1,
        active: 2,
        missing: 3,
        last_received_ms: Some(4),
        digest: "f0".into(),
    };
    assert_eq!(
        line(&head),
        r#"{"name":"n1","hears":"whole","since_ms":1,"active":2,"missing":3,"last_ms":4,"digest":"f0"}"#
    );
    let member = MemberRecord {
        name: "n2".into(),
        state: "alive".into(),
        zone: "north".into(),
        address: "127.0.0.1:7946".into(),
        incarnation: 1,
        revision: 2,
        last_received_ms: None,
        health_score: 3,
    };
    assert_eq!(
        line(&member),
        r#"{"name":"n2","state":"alive","zone":"north","address":"127.0.0.1:7946","life":1,"turn":2,"heard_ms":null,"held_up":3}"#
    );
}

#[test]
fn other_heads_keep_their_names() {
    let name = "n1".into();
    assert_eq!(line(&QuotasHead { name }), r#"{"name":"n1"}"#);
    let head = BackendsHead { backends: true };
    assert_eq!(line(&head), r#"{"backends":true}"#);
}

#[test]
fn quota_keeps_its_names() {
    let quota = QuotaRecord {
        name: "trip-book".into(),
        capacity: 1,
        base_quota: 2,
        granted: 3,
        leased: 4,
        usable: 5,
        in_flight: 6,
        demand: 7,
        since_contact_ms: Some(8),
        until_usable_ms: 9,
    };
    assert_eq!(
        line(&QuotasRecord::Quota(quota)),
        r#"{"name":"trip-book","whole":1,"own":2,"lent":3,"borrowed":4,"usable":5,"in_use":6,"wants":7,"heard_ms":8,"waits_ms":9}"#
    );
}

#[test]
fn count_keeps_its_names() {
    let count = CountRecord {
        name: "tenants".into(),
        key: "acme".into(),
        estimate: 1.5,
        max_error: 2.5,
        stale_servers: 3,
    };
    assert_eq!(
        line(&QuotasRecord::Count(count)),
        r#"{"name":"tenants","of":"acme","value":1.5,"bound":2.5,"unheard":3}"#
    );
}

#[test]
fn backend_keeps_its_names() {
    let backend = BackendRecord {
        name: "book-1".into(),
        state: "in".into(),
        weight: 1.5,
        observed: 1,
        failures: 2,
        witnesses: 3,
        gossip_failures: 4.5,
        zone: "north".into(),
        address: "127.0.0.1:7700".into(),
        in_flight: 5,
        typical_latency_ms: Some(6.5),
    };
    assert_eq!(
        line(&backend),
        r#"{"name":"book-1","state":"in","weight":1.5,"seen":1,"bad":2,"heard_from":3,"heard":4.5,"zone":"north","address":"127.0.0.1:7700","in_hand":5,"pace_ms":6.5}"#
    );
}
