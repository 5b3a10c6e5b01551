//! The networks with whose addresses this server exchanges datagrams.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use std::net::IpAddr;

/// A set of networks. Datagrams from or to addresses outside it are dropped.
#[derive(Clone, Debug)]
pub struct AllowedNetworks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl AllowedNetworks {
    /// Builds the set from networks, which may overlap.
    pub fn new(networks: impl IntoIterator<Item = IpNet>) -> AllowedNetworks {
        let mut allowed = AllowedNetworks {
            v4: IpRange::new(),
            v6: IpRange::new(),
        };
        for network in networks {
            match network {
                IpNet::V4(network) => {
                    allowed.v4.add(network);
                }
                IpNet::V6(network) => {
                    allowed.v6.add(network);
                }
            }
        }
        allowed.v4.simplify();
        allowed.v6.simplify();
        allowed
    }

    /// Reports whether an address belongs to one of the networks. IPv4-mapped IPv6 addresses count
    /// as IPv4.
    pub fn contains(&self, ip: IpAddr) -> bool {
        match ip.to_canonical() {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

#[cfg(test)]
mod tests;
