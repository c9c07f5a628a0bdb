//! The object API served within the process, for tests.
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

/// A running object API; it ends when this value goes.
#[derive(Debug)]
pub struct LocalServer {
    api: Arc<Api>,
    address: String,
    stop: Sender<()>,
    server: Option<JoinHandle<()>>,
}

impl LocalServer {
    /// Serves an empty store on a free port to the holders of these tokens.
    ///
    /// # Errors
    ///
    /// When the tokens can't be read or no port is free.
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

    /// The store, its switches and counts.
    #[must_use]
    pub fn api(&self) -> &Api {
        &self.api
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }
}

impl Drop for LocalServer {
    fn drop(&mut self) {
        // A server that has ended already takes no message; there is nothing left to stop then.
        let stopped = self.stop.send(()).is_ok();
        if let Some(server) = self.server.take().filter(|_| stopped) {
            drop(server.join());
        }
    }
}
