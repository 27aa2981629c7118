//! Access to the daemons that a report adds up.

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::ReportError;
use siskinyoke_base::InstanceId;
use siskinyoke_control::burn::BurnReply;
use siskinyoke_control::burn::MemberAddress;
use siskinyoke_control::burn::Report;
use siskinyoke_control::burn::Snapshot;

/// Path of a daemon's burn counts.
const BURN_PATH: &str = "/admin/v1/burn";

/// Reads pages of daemons.
pub trait Daemons {
    /// Reads a page as JSON.
    ///
    /// # Errors
    ///
    /// A sentence if the daemon does not answer or refuses.
    fn get(&self, address: &str, path: &str) -> Result<Value, String>;
}

/// Reads a page of the first of several daemons that answers.
///
/// # Errors
///
/// [`ReportError::NoDaemon`] with the last failure if none answers, [`ReportError::Unreadable`]
/// if the answer is of another version.
pub fn first<T: DeserializeOwned>(
    daemons: &dyn Daemons,
    addresses: &[String],
    path: &str,
) -> Result<T, ReportError> {
    let mut failure = "no address is given".to_owned();
    for address in addresses {
        match daemons.get(address, path) {
            Ok(value) => return read(value),
            Err(err) => failure = format!("{address}: {err}"),
        }
    }
    Err(ReportError::NoDaemon(failure))
}

/// Adds up the burn over all daemons: those at the addresses given, and the members they know.
///
/// # Errors
///
/// [`ReportError::NoDaemon`] if none answers.
pub fn burn(daemons: &dyn Daemons, addresses: &[String]) -> Result<Report, ReportError> {
    let reply: BurnReply = first(daemons, addresses, BURN_PATH)?;
    let mut asked = vec![reply.own.clone()];
    let mut unreached = Vec::new();
    for member in others(&reply, addresses) {
        match ask(daemons, &member.address) {
            Some(snapshot) => asked.push(snapshot),
            None => unreached.push(member.instance),
        }
    }
    let mut report = Report::new(&asked, &reply.kept, &unreached);
    report.complete = reply.complete;
    Ok(report)
}

fn ask(daemons: &dyn Daemons, address: &str) -> Option<Snapshot> {
    let value = daemons.get(address, BURN_PATH).ok()?;
    let reply: BurnReply = read(value).ok()?;
    Some(reply.own)
}

/// Returns the members to ask besides the one that answered, and under their addresses those
/// given that are no member's.
fn others(reply: &BurnReply, addresses: &[String]) -> Vec<MemberAddress> {
    let known = |address: &&String| reply.members.iter().any(|m| m.address == **address);
    let strangers = addresses.iter().filter(|address| !known(address));
    let named = strangers.map(|address| MemberAddress {
        instance: InstanceId::new(address),
        address: address.clone(),
    });
    let members = reply.members.iter().cloned().chain(named);
    members
        .filter(|member| member.instance != reply.own.instance)
        .collect()
}

fn read<T: DeserializeOwned>(value: Value) -> Result<T, ReportError> {
    serde_json::from_value(value).map_err(|err| ReportError::Unreadable(err.to_string()))
}
