//! Tickets, which tie a caller's keys to the daemon start that gave them out.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::InstanceId;
use crate::Millis;

/// Length of the seal in bytes; 128 bits cannot be guessed.
const SEAL_LEN: usize = 16;

/// A ticket: the owner of the requests sent with it, and until when it may be used.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The instance that gave it out.
    pub instance: InstanceId,
    /// The start of that instance's daemon.
    pub owner: Incarnation,
    /// Last moment of use on the owner's own clock, in milliseconds.
    pub expiry: Millis,
    /// Keyed digest over the fields above, which only the owner can make.
    seal: [u8; SEAL_LEN],
}

quick_error! {
    /// A ticket that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum TicketError {
        /// The text is not one of our tickets.
        Malformed {
            display("the ticket cannot be read; hint: send it as GET /v1/locate returned it")
        }
    }
}

impl Ticket {
    /// Makes a ticket sealed with the owner's secret.
    pub fn seal(
        instance: &InstanceId,
        owner: Incarnation,
        expiry: Millis,
        secret: &[u8; 32],
    ) -> Self {
        let seal = digest(instance, owner, expiry, secret);
        Self {
            instance: instance.clone(),
            owner,
            expiry,
            seal,
        }
    }

    /// Tells whether the seal was made with `secret`.
    ///
    /// Guards against a caller who writes a later expiry into a ticket: the owner would have
    /// dropped the identity by then and would run the request a second time.
    pub fn verify(&self, secret: &[u8; 32]) -> bool {
        digest(&self.instance, self.owner, self.expiry, secret) == self.seal
    }

    /// Reads a ticket from the text form.
    ///
    /// # Errors
    ///
    /// [`TicketError::Malformed`] if the text is not a ticket's.
    pub fn parse(text: &str) -> Result<Self, TicketError> {
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        postcard::from_bytes(&bytes).map_err(|_| TicketError::Malformed)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bytes = postcard::to_stdvec(self).map_err(|_| fmt::Error)?;
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

fn digest(
    instance: &InstanceId,
    owner: Incarnation,
    expiry: Millis,
    secret: &[u8; 32],
) -> [u8; SEAL_LEN] {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(&owner.0.to_le_bytes());
    hasher.update(&expiry.0.to_le_bytes());
    hasher.update(instance.as_str().as_bytes());
    let mut seal = [0; SEAL_LEN];
    seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_LEN]);
    seal
}
