//! Starts a server of the fleet as a process.

use super::{ProcessFleet, operator_file};
use crate::server::{Dependencies, Server, configuration};
use std::net::SocketAddr;

/// The time from SIGTERM to the end of a server, in milliseconds.
const SHUTDOWN_MS: u64 = 2_000;
/// Connections that a server may have.
const MAX_SOCKETS: usize = 128;
/// The text of the log line that says where a server receives datagrams.
const LISTENING_LOG_TEXT: &str = "membership: listening, address=";

impl ProcessFleet {
    /// Starts a server under the name of another or its own, with a Unix clock that is ahead by a
    /// number of milliseconds, as the command line has it.
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
        // Nobody needs its log.
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

/// Where a server receives datagrams, by the first lines of its log.
fn datagram_address(server: &Server) -> SocketAddr {
    let after = server
        .before
        .iter()
        .find_map(|line| line.split(LISTENING_LOG_TEXT).nth(1));
    after
        .and_then(|text| text.split(',').next()?.parse().ok())
        .expect("a line that says where it receives datagrams")
}
