//! The control socket: `[control]`.

use crate::file::File;
use std::path::PathBuf;

const CONTROL: [&str; 1] = ["socket"];
/// The longest path that a socket of this kind takes.
const PATH_MOST: usize = 100;

/// Where questions are taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub socket: PathBuf,
}

pub(crate) fn read(file: &mut File) -> Option<Control> {
    let s = file.take_one("control", &CONTROL)?;
    let socket = s.get("socket").unwrap_or("").to_string();
    if socket.is_empty() || socket.len() > PATH_MOST {
        file.wrong(&s, "socket", "has to name a path of 1 to 100 bytes");
    }
    Some(Control {
        socket: socket.into(),
    })
}
