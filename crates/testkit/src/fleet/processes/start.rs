//! Starts the process of a server.

use super::{ProcessFleet, operator_file};
use crate::server::{Dependencies, Server, configuration};
use std::net::SocketAddr;

/// Time that a server's graceful shutdown may take, in milliseconds.
const SHUTDOWN_MS: u64 = 2_000;
/// Maximum number of connections of a server.
const MAX_SOCKETS: usize = 128;
/// Start of the log line that reports the address at which a server receives datagrams.
const LISTENING_LOG_TEXT: &str = "membership: listening, address=";

impl ProcessFleet {
    /// Starts the server `index` under the name of the server `name`. Its Unix clock is ahead by
    /// `clock_ahead_ms`, a number of milliseconds in the form that the command line takes.
    pub(super) fn start(&mut self, index: usize, name: usize, clock_ahead_ms: &str) {
        let configuration = self.configuration(index, name);
        let operator = self.operator_file(index, name);
        let mut server = Server::start_ahead(
            &self.binary,
            &configuration,
            Some(&operator),
            clock_ahead_ms,
        );
        let address = datagram_address(&server);
        self.relays.set_server_address(index, address);
        // The rest of the log is not needed.
        drop(server.follow());
        let node = &mut self.nodes[index];
        node.server = Some(server);
        node.name = name;
        node.stopped = false;
        node.datagram_address = Some(address);
        self.restart_load(index);
    }

    fn configuration(&self, index: usize, name: usize) -> String {
        let node = &self.nodes[index];
        let dependencies = Dependencies {
            engine: node.engine.address,
            registry: node.registry.address,
            catalogue: node.catalogue.address,
        };
        configuration(
            "127.0.0.1:0",
            dependencies,
            MAX_SOCKETS,
            SHUTDOWN_MS,
            &self.settings,
        )
        .replace(
            "\"name\":\"n1\"",
            &format!("\"name\":\"{}\"", super::name(name)),
        )
    }

    fn operator_file(&self, index: usize, name: usize) -> String {
        let node = &self.nodes[index];
        let mut text =
            operator_file::members(&self.setup, index, &self.relays, &node.control_socket);
        text += &self.operator;
        text += &self.each[index];
        text += &operator_file::quota(&self.setup, name, node.capacity);
        text
    }
}

/// Reads the address at which a server receives datagrams from the first lines of its log.
fn datagram_address(server: &Server) -> SocketAddr {
    let after = server
        .before
        .iter()
        .find_map(|line| line.split(LISTENING_LOG_TEXT).nth(1));
    after
        .and_then(|text| text.split(',').next()?.parse().ok())
        .expect("a log line with the address for datagrams")
}
