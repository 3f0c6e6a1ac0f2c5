//! Compares the page docs/configuration.md with the schemas and defaults in the code.

use chestnutlug::config::{CELL_SCHEMA, CellConfig, KeySchema, ValueType, load};
use chestnutlug::settings::{Overrides, SETTINGS_SCHEMA, Settings};
use toml::{Table, Value};

const PAGE: &str = include_str!("../docs/configuration.md");

/// The code blocks of the page whose info string is `fence`.
fn examples(fence: &str) -> Vec<&'static str> {
    let start = format!("```{fence}\n");
    let blocks = PAGE.split(&*start).skip(1);
    blocks
        .map(|block| block.split("```").next().unwrap())
        .collect()
}

#[test]
fn the_cell_examples_are_valid_together() {
    let examples = examples("toml");
    let dir = tempfile::tempdir().unwrap();
    for (i, text) in examples.iter().enumerate() {
        std::fs::write(dir.path().join(format!("{i:02}.toml")), text).unwrap();
    }
    let loaded = load(dir.path()).unwrap_or_else(|findings| panic!("{findings}"));
    let sections = loaded.origins.keys().map(|path| &*path.keys()[0]);
    let sections: std::collections::BTreeSet<&str> = sections.collect();
    let known = CELL_SCHEMA.iter().map(|field| field.name).collect();
    assert_eq!(sections, known, "the examples must cover each section");
}

#[test]
fn the_settings_example_is_valid() {
    let examples = examples("toml settings");
    assert_eq!(examples.len(), 1);
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), examples[0]).unwrap();
    Settings::load(file.path(), &Overrides::default()).unwrap_or_else(|e| panic!("{e}"));
    let table: Table = examples[0].parse().unwrap();
    let keys: Vec<&str> = SETTINGS_SCHEMA.iter().map(|field| field.name).collect();
    assert!(keys.iter().all(|key| table.contains_key(*key)));
}

/// A row of a table in the page.
struct Row {
    key: String,
    default: String,
    limits: String,
}

fn rows(section: &str) -> Vec<Row> {
    let lines = section.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            Row {
                key: cells[1].trim_matches('`').to_owned(),
                default: cells[4].to_owned(),
                limits: cells[5].to_owned(),
            }
        })
        .collect()
}

/// The section of the page whose heading starts with `heading`.
fn section(heading: &str) -> &'static str {
    let (_, below) = PAGE
        .split_once(heading)
        .unwrap_or_else(|| panic!("no {heading}"));
    below.split("\n#").next().unwrap()
}

/// All keys with their schemas; the keys of a table follow the table, as dotted paths.
fn flatten(prefix: &str, fields: &'static [KeySchema]) -> Vec<(String, &'static KeySchema)> {
    let mut keys = Vec::new();
    for field in fields {
        let key = format!("{prefix}{}", field.name);
        keys.push((key.clone(), field));
        if let ValueType::Table(nested) = field.value_type {
            keys.extend(flatten(&format!("{key}."), nested));
        }
    }
    keys
}

fn limits(value_type: &ValueType) -> Option<String> {
    match value_type {
        ValueType::Integer { min, max } => Some(format!("{min} to {max}")),
        ValueType::Number { above, below } => Some(format!("above {above} and below {below}")),
        ValueType::Choice(words) => Some(format!("`{}`", words.join("`, `"))),
        _ => None,
    }
}

/// Compares a table of the page with the schema `fields`; `defaults` holds the values of an entry
/// that sets only the required keys.
fn compare(heading: &str, fields: &'static [KeySchema], defaults: &Table) {
    let rows = rows(section(heading));
    let known = flatten("", fields);
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(
        keys,
        known
            .iter()
            .map(|(key, _)| key.as_str())
            .collect::<Vec<_>>(),
        "{heading}"
    );
    for (row, (key, field)) in rows.iter().zip(known) {
        assert_eq!(row.default == "required", field.required, "{heading} {key}");
        if let Some(limits) = limits(&field.value_type) {
            assert_eq!(row.limits, limits, "{heading} {key}");
        }
        let default = key
            .split('.')
            .try_fold(Value::Table(defaults.clone()), |value, key| {
                value.as_table()?.get(key).cloned()
            });
        let Some(default) = default.filter(|value| !field.required && !value.is_table()) else {
            continue;
        };
        let shown: Table = format!("shown = {}", row.default.trim_matches('`'))
            .parse()
            .unwrap();
        assert_eq!(shown["shown"], default, "{heading} {key}");
    }
}

#[test]
fn every_key_is_listed_with_its_default_and_limits() {
    let text = "[team.x]\nbalance_core_hours = 1\n[team.x.quota]\ncpu_milli = 1\nmemory_mib = 1\n\
                [kind.x]\n[service.x]\n\
                [backend.x]\nservice = \"x\"\nzone = \"z\"\naddress = \"127.0.0.1:1\"\n\
                [worker.x]\nshard = \"s\"\nzone = \"z\"\nrack = \"r\"\naddress = \"127.0.0.1:2\"\n\
                capacity = { cpu_milli = 1, memory_mib = 1 }\n\
                [objective.x]\nkind = \"x\"\nwaiting_ms = 1\ntarget = 0.5\n";
    let config = CellConfig::from_text(text).unwrap();
    let config_table = Table::try_from(&config).unwrap();
    for field in CELL_SCHEMA {
        match field.value_type {
            ValueType::Entries(fields) => {
                let defaults = config_table[field.name]["x"].as_table().unwrap();
                compare(&format!("### `{}.NAME`", field.name), fields, defaults);
            }
            _ => {
                let row = &rows(section("### Top level"))[0];
                assert_eq!(row.key, field.name);
                assert_eq!(
                    row.default.replace('_', ""),
                    format!("`{}`", config_table[field.name])
                );
                assert_eq!(Some(row.limits.clone()), limits(&field.value_type));
            }
        }
    }
    let file = tempfile::NamedTempFile::new().unwrap();
    let example = include_str!("../examples/settings.toml");
    std::fs::write(file.path(), example).unwrap();
    let settings = Settings::load(file.path(), &Overrides::default()).unwrap();
    let defaults = Table::try_from(&settings).unwrap();
    compare("## Settings of a process", SETTINGS_SCHEMA, &defaults);
}
