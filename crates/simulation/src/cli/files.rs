//! Reads and writes the files that the command line names.

use super::error::CommandError;
use madderbay_simulation::History;
use std::fs;
use std::path::Path;

pub(crate) fn read_text(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(CommandError::at(path))
}

pub(crate) fn read_history(path: &Path) -> Result<History, CommandError> {
    let text = read_text(path)?;
    Ok(History::parse(&path.display().to_string(), &text)?)
}

pub(crate) fn write_text(path: &Path, text: &str) -> Result<(), CommandError> {
    fs::write(path, text).map_err(CommandError::at(path))
}

pub(crate) fn create_folder(path: &Path) -> Result<(), CommandError> {
    fs::create_dir_all(path).map_err(CommandError::at(path))
}
