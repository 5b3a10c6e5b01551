use super::*;

#[test]
fn contains_addresses_in_either_notation() {
    let networks = ["10.0.0.0/9", "10.128.0.0/9", "192.0.2.7/32", "fd00::/8"];
    let allowed = AllowedNetworks::new(networks.map(|n| n.parse().expect("a network")));
    let cases = [
        ("10.200.1.1", true),
        ("11.0.0.1", false),
        ("192.0.2.7", true),
        ("fd12::1", true),
    ];
    for (ip, expected) in cases {
        assert_eq!(
            allowed.contains(ip.parse().expect("an address")),
            expected,
            "{ip}"
        );
    }
    assert!(allowed.contains("::ffff:10.1.1.1".parse().expect("an address")));
}
