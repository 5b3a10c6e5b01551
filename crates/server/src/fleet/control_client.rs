//! The asking side of the control socket, for the command line.

use super::control_socket::{END, LINE, MemberLine, MembersHead, RouteLine, SharedLine};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// A server that answers nothing for so long hangs.
const PATIENCE: Duration = Duration::from_secs(5);
/// Between two looks with `--watch`.
pub const WATCH: Duration = Duration::from_millis(1_000);

fn lines(path: &Path, word: &str) -> Result<Vec<String>, String> {
    let told = |what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    let ask = || -> std::io::Result<Vec<String>> {
        let mut stream = UnixStream::connect(path)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(format!("{}\n", json!({ "ask": word })).as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut lines = vec![];
        loop {
            let mut line = String::new();
            reader.by_ref().take(LINE as u64).read_line(&mut line)?;
            match line.trim_end() {
                "" => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                END => return Ok(lines),
                line => lines.push(line.to_string()),
            }
        }
    };
    let lines = ask().map_err(|e| told(&e))?;
    let first: Value = lines
        .first()
        .and_then(|l| serde_json::from_str(l).ok())
        .unwrap_or_default();
    match first["wrong"].as_str() {
        Some(what) => Err(told(&what)),
        None => Ok(lines),
    }
}

/// What a server holds of its fleet: as one line of JSON, or for reading.
pub fn members(path: &Path, json: bool) -> Result<String, String> {
    let lines = lines(path, "members")?;
    let unread = |e| format!("{}: an answer that can't be read: {e}", path.display());
    if json {
        let mut whole: Value = serde_json::from_str(&lines[0]).map_err(unread)?;
        let members: Result<Vec<Value>, _> =
            lines[1..].iter().map(|l| serde_json::from_str(l)).collect();
        whole["members"] = Value::Array(members.map_err(unread)?);
        return Ok(whole.to_string());
    }
    let head: MembersHead = serde_json::from_str(&lines[0]).map_err(unread)?;
    let mut text = format!(
        "{} hears {} since {:.1} s: {} others in, {} missing; view {}\n",
        head.name,
        head.hears,
        head.since_ms as f64 / 1e3,
        head.active,
        head.missing,
        head.digest
    );
    for line in &lines[1..] {
        let m: MemberLine = serde_json::from_str(line).map_err(unread)?;
        let heard = m
            .heard_ms
            .map_or("-".into(), |ms| format!("{:.1} s ago", ms as f64 / 1e3));
        let held_up = if m.held_up > 0 { ", held up" } else { "" };
        text += &format!(
            "{:<20} {:<9} {:<10} {:<22} {heard}{held_up}\n",
            m.name, m.state, m.zone, m.address
        );
    }
    text.truncate(text.trim_end().len());
    Ok(text)
}

/// How a server holds its backends: as one line of JSON, or for reading.
pub fn routes(path: &Path, json: bool) -> Result<String, String> {
    let lines = lines(path, "routes")?;
    let unread = |e| format!("{}: an answer that can't be read: {e}", path.display());
    if json {
        let backends: Result<Vec<Value>, _> =
            lines[1..].iter().map(|l| serde_json::from_str(l)).collect();
        return Ok(json!({ "backends": backends.map_err(unread)? }).to_string());
    }
    let mut text = String::new();
    for line in &lines[1..] {
        let b: RouteLine = serde_json::from_str(line).map_err(unread)?;
        let pace = b.pace_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"));
        text += &format!(
            "{:<20} {:<8} weight {:.2} {:<10} {:<22} {pace:>7}, {} in hand, {} seen, {} bad; heard {:.1} from {}\n",
            b.name,
            b.state,
            b.weight,
            b.zone,
            b.address,
            b.in_hand,
            b.seen,
            b.bad,
            b.heard,
            b.heard_from
        );
    }
    text.truncate(text.trim_end().len());
    Ok(text)
}

/// What a server shares with its fleet: as one line of JSON, or for reading.
pub fn shared(path: &Path, json: bool) -> Result<String, String> {
    let lines = lines(path, "shared")?;
    let unread = |e| format!("{}: an answer that can't be read: {e}", path.display());
    let mut whole = json!({ "budgets": [], "counts": [] });
    let mut text = String::new();
    for line in &lines[1..] {
        let value: Value = serde_json::from_str(line).map_err(unread)?;
        let list = if value["of"].is_null() {
            "budgets"
        } else {
            "counts"
        };
        if let Some(list) = whole[list].as_array_mut() {
            list.push(value);
        }
        match serde_json::from_str(line).map_err(unread)? {
            SharedLine::Budget {
                name,
                whole,
                own,
                lent,
                borrowed,
                usable,
                in_use,
                wants,
                heard_ms,
                waits_ms,
            } => {
                let heard =
                    heard_ms.map_or("never".into(), |ms| format!("{:.1} s ago", ms as f64 / 1e3));
                text += &format!(
                    "budget {name}: {in_use} of {usable} calls in hand ({whole} in all; {own} own, {lent} lent, \
                     {borrowed} borrowed), work for {wants}; heard {heard}"
                );
                if waits_ms > 0 {
                    text += &format!("; its own in {:.1} s", waits_ms as f64 / 1e3);
                }
            }
            SharedLine::Count {
                name,
                of,
                value,
                bound,
                unheard,
            } => {
                text += &format!("count {name}: {of} {value:.0}, at most {bound:.0} off");
                if unheard > 0 {
                    text += &format!(", {unheard} not heard");
                }
            }
        }
        text.push('\n');
    }
    if json {
        return Ok(whole.to_string());
    }
    text.truncate(text.trim_end().len());
    Ok(if text.is_empty() {
        "nothing is shared".into()
    } else {
        text
    })
}
