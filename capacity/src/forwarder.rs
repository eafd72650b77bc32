//! A TCP forwarder on loopback that counts the forwarded bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use camphorbeam_http::meter;
use futures::future;

use crate::ports;

/// Forwards connections to `target` and counts their bytes in `meter`, from the point of view of
/// the target: received bytes are those that the connecting client sent. Returns the address of
/// the forwarder.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start(target: SocketAddr, meter: Arc<meter::Meter>) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind(ports::free_address()).await?;
    let address = listener.local_addr()?;
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let metered = meter::MeteredStream::new(stream, Arc::clone(&meter));
            task::spawn(async move {
                // An error on one connection affects only its two ends, which see it closed.
                let _ = forward(metered, target).await;
            });
        }
    });
    Ok(address)
}

async fn forward(client_stream: meter::MeteredStream, target: SocketAddr) -> io::Result<()> {
    let target_stream = TcpStream::connect(target).await?;
    client_stream.get_ref().set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    let to_target = copy_one_way(
        client_stream.clone(),
        target_stream.clone(),
        target_stream.clone(),
    );
    let to_client = copy_one_way(
        target_stream,
        client_stream.clone(),
        client_stream.get_ref().clone(),
    );
    future::try_join(to_target, to_client).await?;
    Ok(())
}

/// Copies until `from` ends, then shuts down the write side of `to_stream`.
async fn copy_one_way<R, W>(from: R, mut to: W, to_stream: TcpStream) -> io::Result<()>
where
    R: io::Read + Unpin,
    W: io::Write + Unpin,
{
    io::copy(from, &mut to).await?;
    to_stream.shutdown(std::net::Shutdown::Write)
}
