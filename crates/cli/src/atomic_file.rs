//! Replaces files atomically.

use std::io::{self, Write};
use std::path::Path;

/// Writes a temporary file in the folder of `file` and renames it over `file`, so that a concurrent reader sees either
/// the old content or the new one. A symbolic link is followed and stays a link; permissions are kept.
///
/// # Errors
/// The file cannot be written, for example on a full disk. Its content is unchanged then.
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
    let metadata = match std::fs::metadata(&file) {
        // Only a regular file is replaced. Others, such as a terminal, are written directly.
        Ok(m) if !m.is_file() => return std::fs::write(&file, text),
        Ok(m) if m.permissions().readonly() => return Err(io::ErrorKind::PermissionDenied.into()),
        metadata => metadata.ok(),
    };
    let mut temporary = tempfile::Builder::new()
        .prefix(".gullsail-")
        .tempfile_in(folder)?;
    temporary.write_all(text.as_bytes())?;
    let permissions = match metadata {
        Some(m) => m.permissions(),
        None => std::os::unix::fs::PermissionsExt::from_mode(0o644),
    };
    temporary.as_file().set_permissions(permissions)?;
    temporary.as_file().sync_all()?;
    temporary.persist(&file).map_err(|e| e.error)?;
    std::fs::File::open(folder)?.sync_all()
}
