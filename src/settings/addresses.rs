//! Serializes a list of addresses as one comma-separated string.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serializes the addresses as one string.
pub fn serialize<S: Serializer>(addresses: &[SocketAddr], to: S) -> Result<S::Ok, S::Error> {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    to.serialize_str(&texts.join(","))
}

/// Deserializes the addresses from one string.
pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<SocketAddr>, D::Error> {
    let text = String::deserialize(from)?;
    let parts = text.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(|part| part.parse().map_err(D::Error::custom))
        .collect()
}
