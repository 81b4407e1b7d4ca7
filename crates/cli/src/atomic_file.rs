//! Replaces files atomically.

use std::io::{self, Write};
use std::path::Path;

/// Writes a temporary file on the same disk and renames it over `file`, so that a concurrent reader sees the old
/// content or the new one. A link stays a link, and permissions stay as they were.
///
/// # Errors
/// The file cannot be written, as on a full disk; it is unchanged then.
pub fn write(file: &Path, text: &str) -> io::Result<()> {
    let file = if file.exists() {
        file.canonicalize()?
    } else {
        file.to_path_buf()
    };
    let folder = file
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let before = match std::fs::metadata(&file) {
        // Only a regular file can be replaced; a terminal, for example, is written to.
        Ok(m) if !m.is_file() => return std::fs::write(&file, text),
        Ok(m) if m.permissions().readonly() => return Err(io::ErrorKind::PermissionDenied.into()),
        before => before.ok(),
    };
    let mut beside = tempfile::Builder::new()
        .prefix(".gullsail-")
        .tempfile_in(folder)?;
    beside.write_all(text.as_bytes())?;
    let permissions = match before {
        Some(m) => m.permissions(),
        None => std::os::unix::fs::PermissionsExt::from_mode(0o644),
    };
    beside.as_file().set_permissions(permissions)?;
    beside.as_file().sync_all()?;
    beside.persist(&file).map_err(|e| e.error)?;
    std::fs::File::open(folder)?.sync_all()
}
