//! In which order identifiers are used again.

use super::*;

const SERVERS: u64 = 20;

fn identity(incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        incarnation,
        slot: 0,
    }
}

fn name(server: u64) -> CompactString {
    CompactString::from(format!("n{server}"))
}

/// The identifiers that servers get which come after as many have left in one tick.
fn reused_identifiers() -> Vec<Option<IncarnationId>> {
    let mut incarnations = Incarnations::default();
    for server in 0..SERVERS {
        incarnations.identify(&name(server), identity(1));
    }
    incarnations.retire_servers(|_| true);
    incarnations.release_retired(|_| false);
    (0..SERVERS)
        .map(|server| incarnations.identify(&name(server), identity(2)))
        .collect()
}

/// Identifiers were freed in the order of a hash table: a simulated run could not be repeated.
#[test]
fn identifiers_of_servers_that_leave_together_are_reused_in_a_fixed_order() {
    let first = reused_identifiers();
    for _ in 0..10 {
        assert_eq!(reused_identifiers(), first);
    }
}
