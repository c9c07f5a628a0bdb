//! What the tests of the listeners share: a real process, raw connections, bounded waits.

#![allow(
    dead_code,
    reason = "every test file is a crate of its own and uses a part of this"
)]

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

/// The longest wait for anything that has to happen.
pub(crate) const WAIT: Duration = Duration::from_secs(60);

const POLL: Duration = Duration::from_millis(10);

/// Waits until something is the case; fails the test at the limit.
pub(crate) fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !check() {
        assert!(begun.elapsed() < WAIT, "waited too long: {what}");
        std::thread::sleep(POLL);
    }
}

/// A file of one test in the directory that cargo gives to tests.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("written");
    path
}

/// A settings file with everything that is required; the platform's address is one where nobody listens.
pub(crate) fn settings_file(name: &str, extra: &str) -> PathBuf {
    let token = file(&format!("{name}.token"), "secret-of-the-test\n");
    let text = format!(
        "instance = \"{name}\"\navailability_zone = \"z\"\nregion = \"r\"\nplatform_address = \"127.0.0.1:1\"\ntoken_file = \"{}\"\n{extra}",
        token.display()
    );
    file(&format!("{name}.toml"), &text)
}

/// Runs the program to its end.
pub(crate) fn program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_damaskvane-entry"));
    command.args(arguments).output().expect("runs")
}

/// A running entry instance without a configuration; dropping it kills it.
pub(crate) struct Entry {
    child: Child,
    ready: serde_json::Value,
    log: PathBuf,
}

impl Entry {
    /// Starts it with short bounds and whatever else the test sets.
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
        let ready = serde_json::from_str(&line).expect("JSON");
        let entry = Self { child, ready, log };
        wait_until("clients are let in", || {
            TcpStream::connect(entry.address("client")).is_ok()
        });
        entry
    }

    /// Where it listens: `client`, `operator` or `peer`.
    pub(crate) fn address(&self, which: &str) -> &str {
        self.ready[which].as_str().expect("an address")
    }

    /// Its status.
    pub(crate) fn status(&self) -> serde_json::Value {
        let url = format!("http://{}/v1/status", self.address("operator"));
        let answer = attohttpc::get(url).timeout(WAIT).send().expect("answers");
        serde_json::from_slice(&answer.bytes().expect("whole")).expect("JSON")
    }

    /// A count out of its status.
    pub(crate) fn count(&self, name: &str) -> u64 {
        self.status()["counters"][name].as_u64().unwrap_or(0)
    }

    /// Its threads and its resident kilobytes, as the kernel says.
    pub(crate) fn cost(&self) -> (u64, u64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("runs");
        let number = |key: &str| {
            let line = text.lines().find(|line| line.starts_with(key));
            let word = line.and_then(|line| line.split_whitespace().nth(1));
            word.and_then(|word| word.parse().ok()).expect("a number")
        };
        (number("Threads:"), number("VmRSS:"))
    }

    /// What it logged so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("readable")
    }

    /// Stops it as planned and waits for its end.
    pub(crate) fn stop(&mut self) -> ExitStatus {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(id).status().expect("runs");
        assert!(sent.success());
        let mut ended = None;
        wait_until("the process ends", || {
            ended = self.child.try_wait().expect("is a child");
            ended.is_some()
        });
        ended.expect("ended")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Connects; reads fail once the overall limit has passed.
pub(crate) fn connect(address: &str) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connects");
    stream.set_read_timeout(Some(WAIT)).expect("set");
    stream.set_write_timeout(Some(WAIT)).expect("set");
    stream
}

/// Everything that comes until the other side closes; an abort counts as a close, silence does not.
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

/// Sends bytes on a new connection and returns what comes until it closes.
pub(crate) fn exchange(address: &str, sent: &[u8]) -> String {
    let mut stream = connect(address);
    // The other side may close before it has read all: what it said is read all the same.
    let _ = stream.write_all(sent);
    read_to_close(&mut stream)
}
