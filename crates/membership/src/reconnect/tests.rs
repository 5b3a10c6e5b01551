use super::*;
use crate::tests::at;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test]
fn contacts_only_servers_that_are_not_active() {
    let mut reconnector =
        Reconnector::new(at(0), &[address(1), address(2), address(3)], address(1));
    let pick = |reconnector: &mut Reconnector, now, active: u16, draw: f64| {
        reconnector.pick(at(now), false, |a| a == address(active), &[], || draw)
    };
    assert_eq!(pick(&mut reconnector, 0, 2, 0.0), Some(address(3)));
    assert_eq!(pick(&mut reconnector, 249, 2, 0.0), None);
    assert_eq!(pick(&mut reconnector, 250, 3, 0.9), Some(address(2)));
    // A member that was removed from the view remains a candidate until it is active again.
    reconnector.record_removal(at(300), address(9));
    assert_eq!(pick(&mut reconnector, 2_000, 2, 0.99), Some(address(9)));
    assert_eq!(pick(&mut reconnector, 4_000, 9, 0.99), Some(address(3)));
    assert_eq!(pick(&mut reconnector, 6_000, 2, 0.99), Some(address(3)));
    // Attempts use the long interval once the last loss of a member is no longer recent.
    assert_eq!(pick(&mut reconnector, 130_000, 2, 0.5), Some(address(3)));
    assert_eq!(reconnector.next_timeout(), at(135_000));
    reconnector.record_member_loss(at(131_000));
    assert_eq!(reconnector.next_timeout(), at(131_500));
}
