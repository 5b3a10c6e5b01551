use super::*;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn those_who_are_not_in_are_tried_and_no_others() {
    let mut mend = Mend::new(at(0), &[address(1), address(2), address(3)], address(1));
    let tried = |mend: &mut Mend, now, in_view: u16, draw: f64| {
        mend.pick(at(now), false, |a| a == address(in_view), &[], || draw)
    };
    assert_eq!(tried(&mut mend, 0, 2, 0.0), Some(address(3)));
    assert_eq!(tried(&mut mend, 249, 2, 0.0), None);
    assert_eq!(tried(&mut mend, 250, 3, 0.9), Some(address(2)));
    // What the view forgets goes on being tried, until it is in again.
    mend.forgotten(at(300), address(9));
    assert_eq!(tried(&mut mend, 2_000, 2, 0.99), Some(address(9)));
    assert_eq!(tried(&mut mend, 4_000, 9, 0.99), Some(address(3)));
    assert_eq!(tried(&mut mend, 6_000, 2, 0.99), Some(address(3)));
    // Long after the last loss it is seldom.
    assert_eq!(tried(&mut mend, 130_000, 2, 0.5), Some(address(3)));
    assert_eq!(mend.due(), at(135_000));
    mend.lost(at(131_000));
    assert_eq!(mend.due(), at(131_500));
}
