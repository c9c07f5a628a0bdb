//! An HTTP server for the object API within the test's process.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let running = platform::LocalServer::start("secret anna").expect("a free port");
//! assert!(running.address().starts_with("127.0.0.1:"));
//! ```

use std::error::Error;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::platform::api::Api;

/// A running server for the object API; it stops when the value is dropped.
#[derive(Debug)]
pub struct LocalServer {
    api: Arc<Api>,
    address: String,
    stop: Sender<()>,
    server: Option<JoinHandle<()>>,
}

impl LocalServer {
    /// Starts a server with an empty store on a free loopback port.
    ///
    /// `tokens` is the text of a token file. The list of instances lags by 50 ms.
    ///
    /// # Errors
    ///
    /// Returns an error if `tokens` can't be parsed or no port is free.
    pub fn start(tokens: &str) -> Result<Self, Box<dyn Error + Send + Sync>> {
        let api = Arc::new(Api::new(tokens.parse()?, Duration::from_millis(50)));
        let served = Arc::clone(&api);
        let server = rouille::Server::new("127.0.0.1:0", move |request| served.handle(request))?;
        let address = server.server_addr().to_string();
        let (server, stop) = server.stoppable();
        Ok(Self {
            api,
            address,
            stop,
            server: Some(server),
        })
    }

    /// Returns the object API, with its fault switches and counters.
    #[must_use]
    pub fn api(&self) -> &Api {
        &self.api
    }

    /// Returns the address and port that the server listens on.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for LocalServer {
    fn drop(&mut self) {
        // The send fails if the server has already stopped; its thread is not joined then.
        let stopped = self.stop.send(()).is_ok();
        if let Some(server) = self.server.take().filter(|_| stopped) {
            drop(server.join());
        }
    }
}
