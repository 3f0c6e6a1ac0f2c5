//! Reads the files of a configuration folder, within bounds.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};

use super::finding::{Finding, SourceLocation};

/// The most bytes of one file.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// The most files of a folder.
pub const MAX_FILES: usize = 1_000;

/// The most bytes of all files together.
pub const MAX_FOLDER_BYTES: usize = 16 << 20;

/// A file that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// Its path, as findings name it.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// Reads every `*.toml` file of `dir`, in the order of their names.
///
/// Hidden files and other endings are passed over.
pub fn read_folder(dir: &Path, findings: &mut Vec<Finding>) -> Vec<SourceFile> {
    let paths = match list(dir) {
        Ok(paths) => paths,
        Err(error) => {
            let problem = format!("the folder cannot be read: {error}");
            let remedy = "name a folder that holds *.toml files";
            findings.push(whole(
                dir,
                &problem,
                "the configuration is kept there",
                remedy,
            ));
            return Vec::new();
        }
    };
    if paths.is_empty() {
        let reason = "a configuration has at least one";
        let remedy = "add a file such as 10-teams.toml";
        findings.push(whole(
            dir,
            "the folder holds no *.toml file",
            reason,
            remedy,
        ));
    }
    if paths.len() > MAX_FILES {
        let problem = format!("the folder holds {} files", paths.len());
        let reason = format!("at most {MAX_FILES} are read");
        findings.push(whole(dir, &problem, &reason, "put several into one file"));
        return Vec::new();
    }
    read_all(dir, &paths, findings)
}

/// Reads one file, within bounds.
pub fn read_file(path: &Path, findings: &mut Vec<Finding>) -> Option<SourceFile> {
    match bounded(path) {
        Ok(text) => Some(SourceFile {
            name: path.display().to_string(),
            text,
        }),
        Err(finding) => {
            findings.push(*finding);
            None
        }
    }
}

fn read_all(dir: &Path, paths: &[PathBuf], findings: &mut Vec<Finding>) -> Vec<SourceFile> {
    let mut files = Vec::with_capacity(paths.len());
    let mut total_bytes = 0;
    for path in paths {
        let Some(file) = read_file(path, findings) else {
            continue;
        };
        total_bytes += file.text.len();
        if total_bytes > MAX_FOLDER_BYTES {
            let reason = format!("at most {MAX_FOLDER_BYTES} bytes are read");
            findings.push(whole(
                dir,
                "the folder is too large",
                &reason,
                "remove files",
            ));
            break;
        }
        files.push(file);
    }
    files
}

fn list(dir: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let hidden = |name: &std::ffi::OsStr| name.to_string_lossy().starts_with('.');
        let skipped = path.file_name().is_none_or(hidden);
        if !skipped && path.extension().is_some_and(|ending| ending == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn bounded(path: &Path) -> Result<String, Box<Finding>> {
    let unreadable = |error: std::io::Error| {
        let problem = format!("the file cannot be read: {error}");
        Box::new(whole(
            path,
            &problem,
            "every file counts",
            "make it readable",
        ))
    };
    let is_file = fs::metadata(path).map_err(unreadable)?.is_file();
    if !is_file {
        let reason = "only regular files are read";
        return Err(Box::new(whole(
            path,
            "this is no regular file",
            reason,
            "rename it",
        )));
    }
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    let mut limited = file.take(MAX_FILE_BYTES + 1);
    limited.read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        let reason = format!("at most {MAX_FILE_BYTES} bytes are read");
        return Err(Box::new(whole(
            path,
            "the file is too large",
            &reason,
            "split it",
        )));
    }
    String::from_utf8(bytes).map_err(|error| {
        let problem = format!("byte {} is not UTF-8", error.utf8_error().valid_up_to() + 1);
        Box::new(whole(path, &problem, "TOML is UTF-8", "save it as UTF-8"))
    })
}

fn whole(path: &Path, problem: &str, reason: &str, remedy: &str) -> Finding {
    let location = SourceLocation::whole_source(path.display().to_string());
    Finding::new(&location, problem, reason, remedy)
}
