//! Binds the clients' address when the process starts, and listens on it later.
//!
//! Clients cache lookup responses. A cached response can name an earlier incarnation (an earlier start) of
//! this instance as the home of an idempotency key, which is the process that handles all attempts with
//! that key. The new process can only answer *outcome unknown* to a request with that home, although in
//! most cases no backend server ran the request. While the port is bound but not listening, connections are
//! refused instead: the client then knows that nothing was sent, and uses another home. The port is bound
//! at once, so that an address in use is detected early. Listening starts after the cached responses have
//! expired.
//!
//! ```
//! use damaskvane_entry::client_api::binding;
//!
//! let bound = binding::BoundAddress::bind("127.0.0.1:0")?;
//! let address = bound.local_address()?;
//! assert!(std::net::TcpStream::connect(address).is_err());
//! let _listener = bound.listen()?;
//! assert!(std::net::TcpStream::connect(address).is_ok());
//! # Ok::<(), std::io::Error>(())
//! ```

use std::io;
use std::net;

use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Socket that is bound to an address and does not listen yet.
#[derive(Debug)]
pub struct BoundAddress(Socket);

impl BoundAddress {
    /// Binds a socket to an address; with port 0 the system selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address is malformed, in use, or not an address of this machine.
    pub fn bind(address: &str) -> io::Result<Self> {
        let address: net::SocketAddr = address
            .parse()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        Ok(Self(socket))
    }

    /// Returns the bound address with the actual port.
    ///
    /// # Errors
    ///
    /// Fails if the system does not report the address.
    pub fn local_address(&self) -> io::Result<net::SocketAddr> {
        self.0
            .local_addr()?
            .as_socket()
            .ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
    }

    /// Starts listening, so that clients can connect.
    ///
    /// # Errors
    ///
    /// Fails if the system can't listen on the socket.
    pub fn listen(self) -> io::Result<net::TcpListener> {
        self.0.listen(BACKLOG)?;
        Ok(self.0.into())
    }
}
