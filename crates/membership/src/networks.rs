//! The networks that a server speaks with.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use iprange::IpRange;
use std::net::IpAddr;

#[derive(Clone, Debug)]
pub struct AllowedNetworks {
    v4: IpRange<Ipv4Net>,
    v6: IpRange<Ipv6Net>,
}

impl AllowedNetworks {
    pub fn new(nets: impl IntoIterator<Item = IpNet>) -> AllowedNetworks {
        let mut networks = AllowedNetworks {
            v4: IpRange::new(),
            v6: IpRange::new(),
        };
        for net in nets {
            match net {
                IpNet::V4(net) => {
                    networks.v4.add(net);
                }
                IpNet::V6(net) => {
                    networks.v6.add(net);
                }
            }
        }
        networks.v4.simplify();
        networks.v6.simplify();
        networks
    }

    pub fn holds(&self, ip: IpAddr) -> bool {
        match ip.to_canonical() {
            IpAddr::V4(ip) => self.v4.contains(&ip),
            IpAddr::V6(ip) => self.v6.contains(&ip),
        }
    }
}

#[cfg(test)]
mod tests;
