//! Makes the variants of the kit's sites that `deploy/sites` describes: `cargo run --example sites KIT`, KIT being the
//! kit's folder. A description is lines: `from = FILE` the kit's site to begin with, `PATH = VALUE` a key to set (a
//! number in a path is a place in a list), `- PATH` one to take out, `# ...` nothing. What is written beside the
//! descriptions belongs to the kit and is not committed.

use std::path::Path;
use std::process::ExitCode;
use toml_edit::{DocumentMut, Item, Value};

/// Where the descriptions are, and what a site needs beside it.
const PLACE: &str = "deploy/sites";
const BESIDE: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// The item that holds the last part of a path, and that part.
fn holder<'a, 'b>(site: &'a mut DocumentMut, path: &'b str) -> Option<(&'a mut Item, &'b str)> {
    let (way, last) = path
        .rsplit_once('.')
        .map_or(("", path), |(way, last)| (way, last));
    let mut at = site.as_item_mut();
    for part in way.split('.').filter(|p| !p.is_empty()) {
        at = match part.parse::<usize>() {
            Ok(n) => at.get_mut(n)?,
            Err(_) => at.get_mut(part)?,
        };
    }
    Some((at, last))
}

fn change(site: &mut DocumentMut, line: &str) -> Result<(), String> {
    if let Some(path) = line.strip_prefix("- ") {
        let found = holder(site, path).and_then(|(at, last)| at.as_table_like_mut()?.remove(last));
        return found
            .map(|_| ())
            .ok_or_else(|| format!("'{path}' is not in the site"));
    }
    let (path, value) = line.split_once(" = ").ok_or("is not PATH = VALUE")?;
    let value: Value = value
        .parse()
        .map_err(|_| format!("'{value}' is no TOML value"))?;
    let (at, last) = holder(site, path).ok_or_else(|| format!("'{path}' is not in the site"))?;
    let table = at
        .as_table_like_mut()
        .ok_or_else(|| format!("'{path}' is in no table"))?;
    table.insert(last, Item::Value(value));
    Ok(())
}

fn make(kit: &Path, description: &Path) -> Result<(), String> {
    let name = description.display();
    let said = text(description)?;
    let mut lines = said
        .lines()
        .map(str::trim)
        .zip(1..)
        .filter(|(l, _)| !l.is_empty() && !l.starts_with('#'));
    let from = lines.next().and_then(|(l, _)| l.strip_prefix("from = "));
    let from =
        kit.join(from.ok_or_else(|| format!("{name}: the first line is not 'from = FILE'"))?);
    let mut site: DocumentMut = text(&from)?
        .parse()
        .map_err(|e| format!("{}: {e}", from.display()))?;
    for (line, n) in lines {
        change(&mut site, line).map_err(|what| format!("{name}:{n}: {what}"))?;
    }
    let place = Path::new(PLACE);
    let to = place
        .join(description.file_stem().unwrap_or_default())
        .with_extension("toml");
    let beside = from.parent().unwrap_or(kit);
    let write = |to: &Path, text: String| {
        std::fs::write(to, text).map_err(|e| format!("{}: {e}", to.display()))
    };
    write(&to, site.to_string())?;
    BESIDE
        .iter()
        .try_for_each(|file| write(&place.join(file), text(&beside.join(file))?))?;
    println!("{}", to.display());
    Ok(())
}

fn all(kit: &Path) -> Result<(), String> {
    let list = |e| format!("{PLACE}: {e}");
    let mut found: Vec<_> = std::fs::read_dir(PLACE)
        .map_err(list)?
        .filter_map(|f| Some(f.ok()?.path()))
        .collect();
    found.retain(|f| f.extension().is_some_and(|e| e == "txt") && !f.ends_with("unlock.txt"));
    found.sort();
    found
        .iter()
        .try_for_each(|description| make(kit, description))
}

fn main() -> ExitCode {
    let kit = std::env::args().nth(1).unwrap_or_default();
    if !Path::new(&kit).join("sites").is_dir() {
        eprintln!("sites: no kit at '{kit}': the variants of {PLACE} are made from its sites");
        return ExitCode::from(2);
    }
    if let Err(what) = all(Path::new(&kit)) {
        eprintln!("sites: {what}");
        return ExitCode::from(2);
    }
    ExitCode::SUCCESS
}
