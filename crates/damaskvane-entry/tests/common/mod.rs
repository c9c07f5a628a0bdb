//! Helpers of the tests that run a real entry instance: the process, raw connections and bounded waits.

#![allow(
    dead_code,
    reason = "each test file is a separate crate and uses only some of these helpers"
)]

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

/// The maximum time to wait for an expected event.
pub(crate) const WAIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(10);

/// Polls `check` until it returns true; fails the test with `what` after [`WAIT`].
pub(crate) fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < WAIT, "timed out waiting until {what}");
        std::thread::sleep(POLL);
    }
}

/// Writes a file in cargo's directory for temporary files of tests and returns its path.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("written");
    path
}

/// Writes a settings file with all required keys and the lines of `extra`; nothing listens at the platform's
/// address.
pub(crate) fn settings_file(name: &str, extra: &str) -> PathBuf {
    let token = file(&format!("{name}.token"), "secret-of-the-test\n");
    let text = format!(
        "instance = \"{name}\"\navailability_zone = \"z\"\nregion = \"r\"\nplatform_address = \"127.0.0.1:1\"\ntoken_file = \"{}\"\n{extra}",
        token.display()
    );
    file(&format!("{name}.toml"), &text)
}

/// Runs the program until it exits.
pub(crate) fn program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_damaskvane-entry"));
    command.args(arguments).output().expect("runs")
}

/// A running entry instance without a configuration; the process is killed on drop.
pub(crate) struct Entry {
    child: Child,
    ready: serde_json::Value,
    log: PathBuf,
}

impl Entry {
    /// Starts an instance without a settling time and with the settings of `extra`, and waits until clients
    /// can connect.
    pub(crate) fn start(name: &str, extra: &str) -> Self {
        let settings = settings_file(name, &format!("settle_ms = 0\n{extra}"));
        let log = file(&format!("{name}.log"), "");
        let mut child = Command::new(env!("CARGO_BIN_EXE_damaskvane-entry"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(fs::File::create(&log).expect("created"))
            .spawn()
            .expect("starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let ready = serde_json::from_str(&line).unwrap_or_else(|error| {
            let log = fs::read_to_string(&log).unwrap_or_default();
            panic!("{name} did not start ({error}): {log}")
        });
        let entry = Self { child, ready, log };
        wait_until("clients can connect", || {
            TcpStream::connect(entry.address("client")).is_ok()
        });
        entry
    }

    /// Returns the address of the `client`, `operator` or `peer` listener.
    pub(crate) fn address(&self, which: &str) -> &str {
        self.ready[which].as_str().expect("an address")
    }

    /// Reads the instance's status from the operator API.
    pub(crate) fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/v1/status", self.address("operator"));
        let response = attohttpc::get(url)
            .timeout(WAIT)
            .send()
            .expect("a response");
        serde_json::from_slice(&response.bytes().expect("a complete body")).expect("JSON")
    }

    /// Returns a counter of the status, or 0 if the counter is absent.
    pub(crate) fn count(&self, name: &str) -> u64 {
        self.status()["counters"][name].as_u64().unwrap_or(0)
    }

    /// Returns the number of threads and the resident memory in kB, as reported by the kernel.
    pub(crate) fn thread_count_and_memory_kb(&self) -> (u64, u64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("runs");
        let number = |key: &str| {
            let line = text.lines().find(|line| line.starts_with(key));
            let value = line.and_then(|line| line.split_whitespace().nth(1));
            value
                .and_then(|value| value.parse().ok())
                .expect("a number")
        };
        (number("Threads:"), number("VmRSS:"))
    }

    /// Returns the log written so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("readable")
    }

    /// Sends SIGTERM and waits until the process exits.
    pub(crate) fn stop(&mut self) -> ExitStatus {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(id).status().expect("runs");
        assert!(sent.success());
        let mut exit_status = None;
        wait_until("the process exits", || {
            exit_status = self.child.try_wait().expect("is a child");
            exit_status.is_some()
        });
        exit_status.expect("exited")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Opens a connection on which a read or write fails after [`WAIT`].
pub(crate) fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(WAIT)).expect("set");
    stream.set_write_timeout(Some(WAIT)).expect("set");
    stream
}

/// Reads until the peer closes or resets the connection; fails the test if a read times out.
pub(crate) fn read_to_close(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        let kind = error.kind();
        assert!(
            !matches!(kind, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
            "the connection was never closed; so far: {}",
            String::from_utf8_lossy(&bytes)
        );
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends bytes on a new connection and returns the bytes received until the connection closes.
pub(crate) fn exchange(address: &str, sent: &[u8]) -> String {
    let mut stream = connect(address);
    // The peer may close before it has read all bytes; its response is read nevertheless.
    let _ = stream.write_all(sent);
    read_to_close(&mut stream)
}
