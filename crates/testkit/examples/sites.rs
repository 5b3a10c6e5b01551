//! Makes the variants of the kit's sites that `deploy/sites` describes: `cargo run --example sites
//! KIT`, KIT being the kit's folder. A description is lines: `from = FILE` the kit's site to begin
//! with, `PATH = VALUE` a key to set (a number in a path is a place in a list), `- PATH` one to
//! take out, `# ...` nothing. What is written beside the descriptions belongs to the kit and is not
//! committed.

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use toml_edit::{DocumentMut, Item, TomlError, Value};

/// Where the descriptions are.
const DESCRIPTIONS: &str = "deploy/sites";
/// What a site needs beside it.
const COMPANIONS: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];

/// Why the variants can't be made.
#[derive(Debug, Error)]
enum SiteError {
    #[error("{}: {error}", path.display())]
    File { path: PathBuf, error: io::Error },
    #[error("{}: {error}", path.display())]
    Toml { path: PathBuf, error: TomlError },
    #[error("{}: the first line is not 'from = FILE'", description.display())]
    NoBase { description: PathBuf },
    #[error("{}:{line}: {error}", description.display())]
    Change {
        description: PathBuf,
        line: usize,
        error: ChangeError,
    },
}

/// Why a line can't change a site.
#[derive(Debug, Error)]
enum ChangeError {
    #[error("'{0}' is not in the site")]
    NoSuchKey(String),
    #[error("'{0}' is in no table")]
    NotInTable(String),
    #[error("'{0}' is no TOML value")]
    NoValue(String),
    #[error("is not PATH = VALUE")]
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

/// The item that holds the last part of a path, and that part.
fn holder<'a, 'b>(site: &'a mut DocumentMut, path: &'b str) -> Option<(&'a mut Item, &'b str)> {
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

/// Carries out one line of a description.
fn change(site: &mut DocumentMut, line: &str) -> Result<(), ChangeError> {
    let no_such_key = |path: &str| ChangeError::NoSuchKey(path.into());
    if let Some(path) = line.strip_prefix("- ") {
        let removed =
            holder(site, path).and_then(|(item, last)| item.as_table_like_mut()?.remove(last));
        return match removed {
            Some(_) => Ok(()),
            None => Err(no_such_key(path)),
        };
    }
    let (path, value) = line.split_once(" = ").ok_or(ChangeError::NoAssignment)?;
    let value: Value = value
        .parse()
        .map_err(|_| ChangeError::NoValue(value.into()))?;
    let (item, last) = holder(site, path).ok_or_else(|| no_such_key(path))?;
    let table = item
        .as_table_like_mut()
        .ok_or_else(|| ChangeError::NotInTable(path.into()))?;
    table.insert(last, Item::Value(value));
    Ok(())
}

/// Makes the site that a description describes, and copies what it needs beside it.
fn make(kit: &Path, description: &Path) -> Result<(), SiteError> {
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
        change(&mut site, line).map_err(|error| SiteError::Change {
            description: description.into(),
            line: number,
            error,
        })?;
    }
    let folder = Path::new(DESCRIPTIONS);
    let made = folder
        .join(description.file_stem().unwrap_or_default())
        .with_extension("toml");
    write(&made, site.to_string())?;
    let beside = base.parent().unwrap_or(kit);
    for companion in COMPANIONS {
        write(&folder.join(companion), read(&beside.join(companion))?)?;
    }
    println!("{}", made.display());
    Ok(())
}

/// Makes the sites of all descriptions.
fn make_all(kit: &Path) -> Result<(), SiteError> {
    let folder = Path::new(DESCRIPTIONS);
    let entries = std::fs::read_dir(folder).map_err(|error| file_error(folder, error))?;
    let mut descriptions: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "txt"))
        .filter(|path| !path.ends_with("unlock.txt"))
        .collect();
    descriptions.sort();
    descriptions
        .iter()
        .try_for_each(|description| make(kit, description))
}

fn main() -> ExitCode {
    let kit = std::env::args().nth(1).unwrap_or_default();
    if !Path::new(&kit).join("sites").is_dir() {
        eprintln!(
            "sites: no kit at '{kit}': the variants of {DESCRIPTIONS} are made from its sites"
        );
        return ExitCode::from(2);
    }
    if let Err(error) = make_all(Path::new(&kit)) {
        eprintln!("sites: {error}");
        return ExitCode::from(2);
    }
    ExitCode::SUCCESS
}
