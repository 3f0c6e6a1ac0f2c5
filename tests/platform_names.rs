//! The names of the platform's interfaces stay in the folder that translates them.

use std::fs;
use std::path::{Path, PathBuf};

/// Words that only the platform's wire has.
const WIRE_NAMES: &[&str] = &[
    "rows-tx",
    "rows-get",
    "rows-feed",
    "rows-parts",
    "blob-put",
    "run-start",
    "run-stop",
    "machine-move",
    "machine-upkeep",
    "chestnutlug/hold",
    "chestnutlug/pace",
    "chestnutlug/advise",
    "chestnutlug/readyz",
    "chestnutlug-deadline",
    "chestnutlug-target",
    "ExpectRev",
    "LastSeen",
    "DeadlineMs",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

#[test]
fn wire_names_stay_in_their_folder() {
    let mut files = Vec::new();
    sources(Path::new("src"), &mut files);
    let mut findings = Vec::new();
    let mut inside = 0;
    for file in files {
        let text = fs::read_to_string(&file).unwrap().to_lowercase();
        let names = WIRE_NAMES.iter();
        let names: Vec<_> = names
            .filter(|name| text.contains(&name.to_lowercase()))
            .collect();
        if file.starts_with("src/platform") {
            inside += names.len();
        } else if !names.is_empty() {
            findings.push(format!("{}: {names:?}", file.display()));
        }
    }
    assert!(inside > 0, "the check looks at the wrong folder");
    assert!(findings.is_empty(), "{}", findings.join("\n"));
}
