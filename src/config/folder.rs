//! Reads the files of a configuration folder, with limits on their number and size.

use std::fs::{self, File};
use std::io::Read;
use std::path::{Path, PathBuf};

use super::finding::{Finding, SourceLocation};

/// Maximum size of one file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 1_000;

/// Maximum size of all files together, in bytes.
pub const MAX_FOLDER_BYTES: usize = 16 << 20;

/// The content of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// The path, as findings show it.
    pub name: String,
    /// The content.
    pub text: String,
}

/// Reads every `*.toml` file in `dir`, ordered by name.
///
/// Hidden files and other extensions are skipped.
pub fn read_folder(dir: &Path, findings: &mut Vec<Finding>) -> Vec<SourceFile> {
    let paths = match list_files(dir) {
        Ok(paths) => paths,
        Err(error) => {
            let problem = format!("the folder cannot be read: {error}");
            let remedy = "pass a folder that contains *.toml files";
            findings.push(path_finding(
                dir,
                &problem,
                "the configuration is read from it",
                remedy,
            ));
            return Vec::new();
        }
    };
    if paths.is_empty() {
        let reason = "a configuration needs at least one";
        let remedy = "add a file such as 10-teams.toml";
        findings.push(path_finding(
            dir,
            "the folder contains no *.toml file",
            reason,
            remedy,
        ));
    }
    if paths.len() > MAX_FILES {
        let problem = format!("the folder contains {} files", paths.len());
        let reason = format!("at most {MAX_FILES} are read");
        findings.push(path_finding(
            dir,
            &problem,
            &reason,
            "combine several into one file",
        ));
        return Vec::new();
    }
    read_all(dir, &paths, findings)
}

/// Reads one file of at most [`MAX_FILE_BYTES`]; adds a finding and returns `None` if it cannot be
/// read.
pub fn read_file(path: &Path, findings: &mut Vec<Finding>) -> Option<SourceFile> {
    match read_bounded(path) {
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
            findings.push(path_finding(
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

fn list_files(dir: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        let hidden = |name: &std::ffi::OsStr| name.to_string_lossy().starts_with('.');
        let skipped = path.file_name().is_none_or(hidden);
        if !skipped && path.extension().is_some_and(|ext| ext == "toml") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn read_bounded(path: &Path) -> Result<String, Box<Finding>> {
    let unreadable = |error: std::io::Error| {
        let problem = format!("the file cannot be read: {error}");
        Box::new(path_finding(
            path,
            &problem,
            "its content is required",
            "make the file readable",
        ))
    };
    let is_file = fs::metadata(path).map_err(unreadable)?.is_file();
    if !is_file {
        let reason = "only regular files are read";
        return Err(Box::new(path_finding(
            path,
            "not a regular file",
            reason,
            "replace it with a regular file, or rename it",
        )));
    }
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    let mut limited = file.take(MAX_FILE_BYTES + 1);
    limited.read_to_end(&mut bytes).map_err(unreadable)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        let reason = format!("at most {MAX_FILE_BYTES} bytes are read");
        return Err(Box::new(path_finding(
            path,
            "the file is too large",
            &reason,
            "split the file",
        )));
    }
    String::from_utf8(bytes).map_err(|error| {
        let problem = format!(
            "byte {} is not valid UTF-8",
            error.utf8_error().valid_up_to() + 1
        );
        Box::new(path_finding(
            path,
            &problem,
            "TOML files are UTF-8",
            "save the file as UTF-8",
        ))
    })
}

fn path_finding(path: &Path, problem: &str, reason: &str, remedy: &str) -> Finding {
    let location = SourceLocation::whole_source(path.display().to_string());
    Finding::new(&location, problem, reason, remedy)
}
