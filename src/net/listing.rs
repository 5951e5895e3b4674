//! The list of database hosts as a message of discovery: its JSON form, and the checks that it must pass before it is used.
//! It owns no state. It must never open a connection, ask for the time or keep an earlier list.

use crate::{GroupId, mutants};
use serde::Deserialize;
use std::net::SocketAddr;

/// A message of discovery that has passed all checks.
pub struct Listing {
    /// The version of the list.
    pub index: u64,
    /// Whether the message holds the whole list. Otherwise it holds only the entries that changed.
    pub full: bool,
    pub entries: Vec<ListedHost>,
}

/// The entry of one database host.
#[derive(Deserialize)]
pub struct ListedHost {
    pub name: String,
    address: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: GroupId,
    pub status: Status,
    #[serde(default = "default_weight")]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: u64,
    #[serde(default)]
    access: String,
    /// Whether `access` is "writer".
    #[serde(skip)]
    pub writer: bool,
    /// The parsed `address`. A message is rejected as a whole if an entry that is not deleted has none.
    #[serde(skip)]
    pub socket: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

/// A message as it is sent, before its checks.
#[derive(Deserialize)]
struct RawListing {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<ListedHost>,
}

fn default_weight() -> f64 {
    1.0
}

impl Listing {
    /// Checks a message that is parsed as JSON already.
    pub fn from_value(value: serde_json::Value) -> Result<Listing, String> {
        Listing::checked(serde_json::from_value(value).map_err(|e| e.to_string())?)
    }

    /// Parses and checks a message of a watch, or a whole list.
    pub fn parse(text: &[u8]) -> Result<Listing, String> {
        Listing::checked(serde_json::from_slice(text).map_err(|e| e.to_string())?)
    }

    fn checked(raw: RawListing) -> Result<Listing, String> {
        let mut entries = raw.endpoints;
        for entry in &mut entries {
            entry.writer = entry.access == "writer";
            entry.status = if mutants::on("deaf to drains") { Status::Serving } else { entry.status };
            entry.socket = entry.address.parse().ok();
            if entry.socket.is_none() && entry.status != Status::Deleted {
                return Err(format!("{}: address {:?} is no address and port", entry.name, entry.address));
            }
        }
        Ok(Listing { index: raw.index, full: raw.snapshot, entries })
    }
}
