//! Accepts TCP streams of other instances at the peer address: subscriptions to the store's changes, and tunnels.

use core::time::Duration;
use std::io;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};

use crate::node::Node;
use crate::{framing, store, tunnel};

/// Time in which the first frame of a stream must arrive.
const HELLO_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before accepting again after the operating system returned an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves other instances until the process ends.
///
/// # Errors
///
/// Fails if the peer address in the settings can't be bound.
pub(crate) async fn serve(node: Rc<Node>) -> io::Result<()> {
    let listener = TcpListener::bind(node.settings().peer_address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            // The other instance detects the end of the stream.
            let _ = serve_stream(&node, stream).await;
        });
    }
}

async fn serve_stream(node: &Rc<Node>, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, framing::read(&mut stream)).await??;
    match framing::magic_of(&hello)? {
        store::FEED_MAGIC => store::serve_subscriber(node, stream, &hello).await,
        tunnel::MAGIC => tunnel::carry(node, stream, &hello).await,
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
