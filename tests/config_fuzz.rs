//! Fuzzes configurations and settings: corrupted input is accepted completely or rejected with
//! findings, and never panics.

use std::path::Path;

use chestnutlug::config::{CellConfig, Findings, load};
use chestnutlug::settings::{Overrides, Settings};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 300;

/// One corruption of a text.
#[derive(Clone, Debug)]
enum Corruption {
    /// Removes a part.
    Cut { at: usize, len: usize },
    /// Inserts a part.
    Put { at: usize, text: &'static str },
    /// Copies a part to another offset.
    Repeat { from: usize, len: usize, at: usize },
    /// Overwrites a byte.
    Byte { at: usize, byte: u8 },
}

impl Arbitrary for Corruption {
    fn arbitrary(g: &mut Gen) -> Self {
        const PARTS: [&str; 14] = [
            "[",
            "]",
            "=",
            "\n",
            "\"",
            "-1",
            "nan",
            "1e999",
            "[[team]]\n",
            "{",
            "\u{0}",
            "removed = true\n",
            "99999999999999999999",
            "é.\u{202e}",
        ];
        let at = usize::arbitrary(g);
        let len = usize::arbitrary(g) % 40;
        match u8::arbitrary(g) % 4 {
            0 => Self::Cut { at, len },
            1 => Self::Put {
                at,
                text: g.choose(&PARTS).unwrap(),
            },
            2 => Self::Repeat {
                from: usize::arbitrary(g),
                len,
                at,
            },
            _ => Self::Byte {
                at,
                byte: u8::arbitrary(g),
            },
        }
    }
}

impl Corruption {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let wrap = |at: usize| at % (bytes.len() + 1);
        match *self {
            Self::Cut { at, len } => {
                let start = wrap(at);
                let end = (start + len).min(bytes.len());
                bytes.drain(start..end);
            }
            Self::Put { at, text } => {
                let at = wrap(at);
                bytes.splice(at..at, text.bytes());
            }
            Self::Repeat { from, len, at } => {
                let (start, at) = (wrap(from), wrap(at));
                let part = bytes[start..(start + len).min(bytes.len())].to_vec();
                bytes.splice(at..at, part);
            }
            Self::Byte { at, byte } => {
                let at = wrap(at);
                if let Some(old) = bytes.get_mut(at) {
                    *old = byte;
                }
            }
        }
    }
}

fn corrupted(seed: u64, text: &str) -> Vec<u8> {
    const MAX_CORRUPTIONS: usize = 6;
    let mut g = Gen::from_size_and_seed(MAX_CORRUPTIONS, seed);
    let mut bytes = text.as_bytes().to_vec();
    for corruption in Vec::<Corruption>::arbitrary(&mut g) {
        corruption.apply(&mut bytes);
    }
    bytes
}

fn lines_of(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Checks that every finding has a problem, a reason and a remedy, and a location within the text.
fn check_findings(seed: u64, findings: &Findings, lines: usize) {
    assert!(!findings.is_empty(), "seed {seed}");
    for finding in findings.as_slice() {
        let texts = [&finding.problem, &finding.reason, &finding.remedy];
        assert!(
            texts.iter().all(|text| !text.is_empty()),
            "seed {seed}: {finding}"
        );
        assert!(
            finding.location.line as usize <= lines,
            "seed {seed}: {finding}"
        );
    }
}

fn example_files() -> Vec<(String, String)> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/cell");
    let mut files: Vec<(String, String)> = std::fs::read_dir(dir)
        .unwrap()
        .map(|entry| {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_str().unwrap().to_owned();
            (name, std::fs::read_to_string(path).unwrap())
        })
        .collect();
    files.sort();
    files
}

#[test]
fn a_corrupted_folder_is_accepted_completely_or_rejected() {
    let files = example_files();
    let mut accepted = 0;
    for seed in 0..CASES {
        let dir = tempfile::tempdir().unwrap();
        let chosen = usize::try_from(seed).unwrap() % files.len();
        let mut lines = 0;
        for (i, (name, text)) in files.iter().enumerate() {
            let bytes = match i == chosen {
                true => corrupted(seed, text),
                false => text.as_bytes().to_vec(),
            };
            std::fs::write(dir.path().join(name), &bytes).unwrap();
            lines = lines.max(lines_of(&bytes));
        }
        match load(dir.path()) {
            Err(findings) => check_findings(seed, &findings, lines),
            Ok(loaded) => {
                accepted += 1;
                // The merged text of an accepted folder is valid and yields the same configuration.
                let text = loaded.config.to_text().unwrap();
                assert_eq!(
                    CellConfig::from_text(&text).unwrap(),
                    loaded.config,
                    "seed {seed}"
                );
            }
        }
    }
    // Both outcomes must occur, so that each branch is checked.
    assert!(accepted > 0 && accepted < CASES, "{accepted}");
}

#[test]
fn a_corrupted_text_is_accepted_completely_or_rejected() {
    let files = example_files();
    let joined: String = files[..5].iter().map(|(_, text)| text.as_str()).collect();
    let mut rejected = 0;
    for seed in 0..CASES {
        let bytes = corrupted(seed, &joined);
        let text = String::from_utf8_lossy(&bytes);
        if let Err(findings) = CellConfig::from_text(&text) {
            rejected += 1;
            check_findings(seed, &findings, lines_of(text.as_bytes()));
        }
    }
    assert!(rejected > 0 && rejected < CASES, "{rejected}");
}

#[test]
fn corrupted_settings_are_accepted_completely_or_rejected() {
    let example = include_str!("../examples/settings.toml");
    let file = tempfile::NamedTempFile::new().unwrap();
    let mut rejected = 0;
    for seed in 0..CASES {
        let bytes = corrupted(seed, example);
        std::fs::write(file.path(), &bytes).unwrap();
        let value = String::from_utf8_lossy(&bytes[..bytes.len().min(40)]).into_owned();
        let overrides = match seed % 3 {
            0 => Overrides::default().with_argument("stop_ms", &value),
            _ => Overrides::default(),
        };
        if let Err(findings) = Settings::load(file.path(), &overrides) {
            rejected += 1;
            check_findings(seed, &findings, lines_of(&bytes));
        }
    }
    assert!(rejected > 0 && rejected < CASES, "{rejected}");
}
