//! The words of the registry's wire, which registry and load balancers depend on.

use super::*;

#[test]
fn registry_wire_has_these_words() {
    assert_eq!((METHOD, INSTANCES_PATH), ("PUT", "/v1/instances/"));
    let words = [STATE, STATE_READY, STATE_DRAINING];
    assert_eq!(words, ["state", "ready", "draining"]);
}
