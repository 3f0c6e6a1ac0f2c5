//! Checks across entries: references, duplicates and contradictions.

use std::collections::BTreeMap;

use super::closest_match::closest_match;
use super::finding::{Finding, SourceLocation};
use super::merge::MergedValues;
use super::parse::KeyPath;
use super::{default_connections, default_slots};

/// Adds a finding for each contradiction in `merged`.
pub fn check(merged: &MergedValues, findings: &mut Vec<Finding>) {
    check_references(merged, "backend", "service", findings);
    check_references(merged, "objective", "team", findings);
    check_references(merged, "objective", "kind", findings);
    check_addresses(merged, findings);
    check_connections(merged, findings);
    check_objectives(merged, findings);
}

/// Checks that each `key` in `section` refers to an entry of the section `key`.
fn check_references(merged: &MergedValues, section: &str, key: &str, findings: &mut Vec<Finding>) {
    for (path, _) in merged.section(section) {
        let Some((name, location)) = merged.text(&path.join(key)) else {
            continue;
        };
        let target = KeyPath::default().join(key).join(name);
        if merged.entries.contains_key(&target) {
            continue;
        }
        findings.push(dangling_reference(
            merged, path, key, name, &target, location,
        ));
    }
}

fn dangling_reference(
    merged: &MergedValues,
    path: &KeyPath,
    key: &str,
    name: &str,
    target: &KeyPath,
    location: &SourceLocation,
) -> Finding {
    let problem = format!("`{path}` refers to the {key} `{name}`");
    if let Some(removed) = merged.removed.get(target) {
        let reason = format!("`{target}` is removed");
        let remedy = format!("remove `{path}` too, or keep `{target}`");
        return Finding::new(location, problem, reason, remedy).with_related(removed);
    }
    let known = merged
        .section(key)
        .filter_map(|(path, _)| path.keys().last());
    let remedy = match closest_match(name, known.map(AsRef::as_ref)) {
        Some(closest) => format!("write \"{closest}\", or declare `{target}`"),
        None => format!("declare `{target}`"),
    };
    Finding::new(location, problem, "no file declares it", remedy)
}

/// Checks that no two workers or backend servers have the same address.
fn check_addresses(merged: &MergedValues, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<std::net::SocketAddr, (&KeyPath, &SourceLocation)> = BTreeMap::new();
    for (path, _) in merged.section("worker").chain(merged.section("backend")) {
        let Some((text, location)) = merged.text(&path.join("address")) else {
            continue;
        };
        let Ok(address) = text.parse() else {
            continue;
        };
        if let Some(&(first, first_location)) = seen.get(&address) {
            let problem = format!("`{path}` has the address {address}");
            let reason = format!("`{first}` has the same address");
            let remedy = "give each its own address";
            findings
                .push(Finding::new(location, problem, reason, remedy).with_related(first_location));
        } else {
            seen.insert(address, (path, location));
        }
    }
}

/// Checks that each backend server accepts a connection for each of its slots.
fn check_connections(merged: &MergedValues, findings: &mut Vec<Finding>) {
    for (path, entry_location) in merged.section("backend") {
        let slots = merged.integer(&path.join("slots"));
        let connections = merged.integer(&path.join("connections"));
        let (slot_count, slots_location) =
            slots.unwrap_or((default_slots().into(), entry_location));
        let (connection_count, connections_location) =
            connections.unwrap_or((default_connections().into(), entry_location));
        if slot_count > connection_count {
            let problem = format!("`{path}` has {slot_count} slots");
            let reason = format!("it accepts only {connection_count} connections");
            let remedy = "set `connections` to at least `slots`";
            let finding = Finding::new(slots_location, problem, reason, remedy);
            findings.push(finding.with_related(connections_location));
        }
    }
}

/// Checks that each team and kind has at most one objective.
fn check_objectives(merged: &MergedValues, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<(Option<&str>, &str), (&KeyPath, &SourceLocation)> = BTreeMap::new();
    for (path, entry_location) in merged.section("objective") {
        let Some((kind, _)) = merged.text(&path.join("kind")) else {
            continue;
        };
        let team = merged.text(&path.join("team")).map(|(team, _)| team);
        if let Some(&(first, first_location)) = seen.get(&(team, kind)) {
            let problem = format!("`{path}` is for the same team and kind as `{first}`");
            let reason = "only one objective per team and kind is allowed";
            let remedy = "remove one of them";
            findings.push(
                Finding::new(entry_location, problem, reason, remedy).with_related(first_location),
            );
        } else {
            seen.insert((team, kind), (path, entry_location));
        }
    }
}
