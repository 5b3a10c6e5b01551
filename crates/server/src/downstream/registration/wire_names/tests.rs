//! Guards the names of the registry's protocol, on which the registry and the load balancers depend.

use super::*;

#[test]
fn registry_protocol_keeps_its_names() {
    assert_eq!((METHOD, INSTANCES_PATH), ("PUT", "/v1/instances/"));
    let words = [STATE, STATE_READY, STATE_DRAINING];
    assert_eq!(words, ["state", "ready", "draining"]);
}
