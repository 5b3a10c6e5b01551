use super::*;

#[test]
fn networks_hold_their_addresses_in_either_spelling() {
    let nets = ["10.0.0.0/9", "10.128.0.0/9", "192.0.2.7/32", "fd00::/8"];
    let set = AllowedNetworks::new(nets.map(|n| n.parse().expect("a network")));
    for (ip, held) in [
        ("10.200.1.1", true),
        ("11.0.0.1", false),
        ("192.0.2.7", true),
        ("fd12::1", true),
    ] {
        assert_eq!(set.holds(ip.parse().expect("an address")), held, "{ip}");
    }
    assert!(set.holds("::ffff:10.1.1.1".parse().expect("an address")));
}
