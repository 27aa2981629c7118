//! Connections whose reset is an error in any part of a response.

use std::io;
use std::io::ErrorKind;

use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

/// Wraps the connections of another connector.
#[derive(Debug)]
pub struct ResetConnector;

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ResetTransport))
    }
}

/// A connection whose reset is an error in any part of a response.
///
/// The HTTP client takes a reset for the regular end of a body that ends with its connection. An
/// instance resets the connection after such a body to say that the response broke off.
#[derive(Debug)]
pub struct ResetTransport<T>(T);

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.0.await_input(timeout).map_err(|err| match err {
            Error::Io(err) if is_reset(err.kind()) => Error::Io(io::Error::other(err)),
            err => err,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn is_reset(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted
    )
}
