//! Writes the variants of the kit's sites that the files in `deploy/sites` describe:
//!
//!     cargo run --package madderbay-testkit --example sites -- KIT
//!
//! KIT is the directory of the kit. A description is a text file of lines; `#` begins a comment
//! line, and empty lines are ignored:
//!
//! | line | meaning |
//! | --- | --- |
//! | `from = FILE` | must come first: the site to start from, relative to the kit |
//! | `PATH = VALUE` | sets a key to a TOML value; a number in a path is an index of a list |
//! | `- PATH` | removes a key |
//!
//! The variants, which are written beside the descriptions, belong to the kit and are not
//! committed.

use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use toml_edit::{DocumentMut, Item, TomlError, Value};

/// Directory of the descriptions, to which the variants are also written.
const DESCRIPTIONS: &str = "deploy/sites";
/// Files that a site needs in its directory.
const COMPANIONS: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];

/// Reason why the variants can't be written.
#[derive(Debug, Error)]
enum SiteError {
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    #[error("{}: {error}", path.display())]
    Toml { path: PathBuf, error: TomlError },
    #[error("{}: the first line must be 'from = FILE'", description.display())]
    NoBase { description: PathBuf },
    #[error("{}:{line}: {error}", description.display())]
    Change {
        description: PathBuf,
        line: usize,
        error: ChangeError,
    },
}

/// Reason why a line can't be applied to a site.
#[derive(Debug, Error)]
enum ChangeError {
    #[error("key '{0}' is not in the site")]
    NoSuchKey(String),
    #[error("key '{0}' is not in a table")]
    NotInTable(String),
    #[error("'{0}' is not a TOML value")]
    NoValue(String),
    #[error("line is not of the form 'PATH = VALUE'")]
    NoAssignment,
}

fn read(path: &Path) -> Result<String, SiteError> {
    std::fs::read_to_string(path).map_err(|error| file_error(path, error))
}

fn write(path: &Path, text: String) -> Result<(), SiteError> {
    std::fs::write(path, text).map_err(|error| file_error(path, error))
}

fn file_error(path: &Path, error: io::Error) -> SiteError {
    let path = path.into();
    SiteError::File { path, error }
}

/// Returns the item that contains the last key of a path, and that key.
fn parent_item<'site, 'path>(
    site: &'site mut DocumentMut,
    path: &'path str,
) -> Option<(&'site mut Item, &'path str)> {
    let (parents, last) = path.rsplit_once('.').unwrap_or(("", path));
    let mut item = site.as_item_mut();
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        item = match part.parse::<usize>() {
            Ok(index) => item.get_mut(index)?,
            Err(_) => item.get_mut(part)?,
        };
    }
    Some((item, last))
}

/// Applies one line of a description to a site.
fn apply_line(site: &mut DocumentMut, line: &str) -> Result<(), ChangeError> {
    let no_such_key = |path: &str| ChangeError::NoSuchKey(path.into());
    if let Some(path) = line.strip_prefix("- ") {
        let removed =
            parent_item(site, path).and_then(|(item, last)| item.as_table_like_mut()?.remove(last));
        return match removed {
            Some(_) => Ok(()),
            None => Err(no_such_key(path)),
        };
    }
    let (path, value) = line.split_once(" = ").ok_or(ChangeError::NoAssignment)?;
    let value: Value = value
        .parse()
        .map_err(|_| ChangeError::NoValue(value.into()))?;
    let (item, last) = parent_item(site, path).ok_or_else(|| no_such_key(path))?;
    let table = item
        .as_table_like_mut()
        .ok_or_else(|| ChangeError::NotInTable(path.into()))?;
    table.insert(last, Item::Value(value));
    Ok(())
}

/// A variant of a site.
struct Variant {
    /// File of the kit's site from which the variant is made.
    base: PathBuf,
    site: DocumentMut,
}

impl Variant {
    /// Reads a description and makes the variant that it describes.
    fn read(kit: &Path, description: &Path) -> Result<Variant, SiteError> {
        let text = read(description)?;
        let mut lines = text
            .lines()
            .map(str::trim)
            .zip(1..)
            .filter(|(line, _)| !line.is_empty() && !line.starts_with('#'));
        let base = lines
            .next()
            .and_then(|(line, _)| line.strip_prefix("from = "));
        let base = kit.join(base.ok_or_else(|| SiteError::NoBase {
            description: description.into(),
        })?);
        let site = read(&base)?.parse();
        let mut site: DocumentMut = site.map_err(|error| SiteError::Toml {
            path: base.clone(),
            error,
        })?;
        for (line, number) in lines {
            apply_line(&mut site, line).map_err(|error| SiteError::Change {
                description: description.into(),
                line: number,
                error,
            })?;
        }
        Ok(Variant { base, site })
    }

    /// Writes the variant under a name, together with the files that it needs. Returns its path.
    fn write(&self, kit: &Path, name: &OsStr) -> Result<PathBuf, SiteError> {
        let folder = Path::new(DESCRIPTIONS);
        let path = folder.join(name).with_extension("toml");
        write(&path, self.site.to_string())?;
        let beside = self.base.parent().unwrap_or(kit);
        for companion in COMPANIONS {
            write(&folder.join(companion), read(&beside.join(companion))?)?;
        }
        Ok(path)
    }
}

/// Writes the variants of all descriptions.
fn write_all_variants(kit: &Path) -> Result<(), SiteError> {
    let folder = Path::new(DESCRIPTIONS);
    let entries = std::fs::read_dir(folder).map_err(|error| file_error(folder, error))?;
    let mut descriptions: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "txt"))
        .filter(|path| !path.ends_with("unlock.txt"))
        .collect();
    descriptions.sort();
    for description in descriptions {
        let variant = Variant::read(kit, &description)?;
        let path = variant.write(kit, description.file_stem().unwrap_or_default())?;
        println!("{}", path.display());
    }
    Ok(())
}

fn main() -> ExitCode {
    let kit = std::env::args().nth(1).unwrap_or_default();
    if !Path::new(&kit).join("sites").is_dir() {
        eprintln!(
            "sites: no kit at '{kit}': the variants of {DESCRIPTIONS} are made from the kit's sites"
        );
        return ExitCode::from(2);
    }
    if let Err(error) = write_all_variants(Path::new(&kit)) {
        eprintln!("sites: {error}");
        return ExitCode::from(2);
    }
    ExitCode::SUCCESS
}
