//! Checks that look at several entries at once: references, duplicates and contradictions.

use std::collections::BTreeMap;

use super::closest_match::closest_match;
use super::finding::{Finding, SourceLocation};
use super::merge::MergedValues;
use super::parse::KeyPath;
use super::{default_connections, default_slots};

/// Adds what is contradictory in `merged` to `findings`.
pub fn check(merged: &MergedValues, findings: &mut Vec<Finding>) {
    check_references(merged, "backend", "service", findings);
    check_references(merged, "objective", "team", findings);
    check_references(merged, "objective", "kind", findings);
    check_addresses(merged, findings);
    check_connections(merged, findings);
    check_objectives(merged, findings);
}

/// Each `key` of `section` names an entry of the section `key`.
fn check_references(merged: &MergedValues, section: &str, key: &str, findings: &mut Vec<Finding>) {
    for (path, _) in merged.section(section) {
        let Some((name, location)) = merged.text(&path.join(key)) else {
            continue;
        };
        let target = KeyPath::default().join(key).join(name);
        if merged.entries.contains_key(&target) {
            continue;
        }
        findings.push(dangling(merged, path, key, name, &target, location));
    }
}

fn dangling(
    merged: &MergedValues,
    path: &KeyPath,
    key: &str,
    name: &str,
    target: &KeyPath,
    location: &SourceLocation,
) -> Finding {
    let problem = format!("`{path}` names the {key} `{name}`");
    if let Some(removed) = merged.removed.get(target) {
        let reason = format!("`{target}` is taken away");
        let remedy = format!("take `{path}` away too, or keep `{target}`");
        return Finding::new(location, problem, reason, remedy).with_related(removed);
    }
    let known = merged
        .section(key)
        .filter_map(|(path, _)| path.keys().last());
    let remedy = match closest_match(name, known.map(AsRef::as_ref)) {
        Some(near) => format!("write \"{near}\", or describe `{target}`"),
        None => format!("describe `{target}`"),
    };
    Finding::new(location, problem, "no file describes it", remedy)
}

/// No two machines have one address.
fn check_addresses(merged: &MergedValues, findings: &mut Vec<Finding>) {
    let mut owners: BTreeMap<std::net::SocketAddr, (&KeyPath, &SourceLocation)> = BTreeMap::new();
    for (path, _) in merged.section("worker").chain(merged.section("backend")) {
        let Some((text, location)) = merged.text(&path.join("address")) else {
            continue;
        };
        let Ok(address) = text.parse() else {
            continue;
        };
        if let Some(&(owner, other)) = owners.get(&address) {
            let problem = format!("`{path}` has the address {address}");
            let reason = format!("`{owner}` has it too");
            let remedy = "give each its own address";
            findings.push(Finding::new(location, problem, reason, remedy).with_related(other));
        } else {
            owners.insert(address, (path, location));
        }
    }
}

/// A backend server accepts a connection for each of its slots.
fn check_connections(merged: &MergedValues, findings: &mut Vec<Finding>) {
    for (path, entry) in merged.section("backend") {
        let slots = merged.integer(&path.join("slots"));
        let connections = merged.integer(&path.join("connections"));
        let (slot_count, slots_place) = slots.unwrap_or((default_slots().into(), entry));
        let (connection_count, connections_place) =
            connections.unwrap_or((default_connections().into(), entry));
        if slot_count > connection_count {
            let problem = format!("`{path}` has {slot_count} slots");
            let reason = format!("it accepts only {connection_count} connections");
            let remedy = "set `connections` to at least `slots`";
            let finding = Finding::new(slots_place, problem, reason, remedy);
            findings.push(finding.with_related(connections_place));
        }
    }
}

/// No two objectives are set for one team and kind.
fn check_objectives(merged: &MergedValues, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<(Option<&str>, &str), (&KeyPath, &SourceLocation)> = BTreeMap::new();
    for (path, entry) in merged.section("objective") {
        let Some((kind, _)) = merged.text(&path.join("kind")) else {
            continue;
        };
        let team = merged.text(&path.join("team")).map(|(team, _)| team);
        if let Some(&(owner, other)) = seen.get(&(team, kind)) {
            let problem = format!("`{path}` is for the same team and kind as `{owner}`");
            let reason = "only one objective can count";
            let remedy = "remove one of them";
            findings.push(Finding::new(entry, problem, reason, remedy).with_related(other));
        } else {
            seen.insert((team, kind), (path, entry));
        }
    }
}
