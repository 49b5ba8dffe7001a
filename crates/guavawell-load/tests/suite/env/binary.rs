//! A folder for one test and the real binary.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

/// A folder of its own for one test, and the real binary.
pub struct TestEnv {
    folder: PathBuf,
}

impl TestEnv {
    pub fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("a writable target folder");
        Self { folder }
    }

    /// A path within the folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Writes a file and gives its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a writable folder");
        path
    }

    /// Runs the binary within the folder.
    pub fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_guavawell-load"))
            .args(args)
            .current_dir(&self.folder)
            .output()
            .expect("the binary starts")
    }

    /// Runs the binary, asserts its exit code and gives what it printed.
    pub fn assert_code(&self, args: &[&str], code: i32) -> (String, String) {
        let output = self.run(args);
        let out = String::from_utf8_lossy(&output.stdout).into_owned();
        let err = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{out}\n{err}");
        (out, err)
    }
}
