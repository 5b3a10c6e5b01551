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
fn identifiers_used_again() -> Vec<Option<IncarnationId>> {
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
fn frees_identifiers_of_servers_that_leave_together_in_one_order() {
    let first = identifiers_used_again();
    for _ in 0..10 {
        assert_eq!(identifiers_used_again(), first);
    }
}
