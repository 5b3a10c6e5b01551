//! The control socket, on which a running server answers queries (`[control]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use std::path::PathBuf;

const SOCKET: &str = "socket";
const KEYS: &[&str] = &[SOCKET];

/// Maximum length of the path in bytes, slightly below the system's limit for Unix sockets.
const MAX_PATH_BYTES: usize = 100;

/// The control socket.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSocket {
    /// Path of the Unix socket.
    pub socket: PathBuf,
}

/// Reads `[control]`. The section has no key `enabled`; the socket is enabled if the section is present.
pub(crate) fn read(file: &mut OperatorFile) -> Option<ControlSocket> {
    let section = file.take_one("control", KEYS)?;
    let socket = section.get(SOCKET).unwrap_or("");
    if socket.is_empty() || socket.len() > MAX_PATH_BYTES {
        let max_bytes = MAX_PATH_BYTES;
        file.key_error(&section, SOCKET, Problem::InvalidSocketPath { max_bytes });
    }
    Some(ControlSocket {
        socket: socket.into(),
    })
}
