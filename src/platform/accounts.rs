//! Parses the client accounts of the operators' configuration.

use serde_json::Value;
use serde_json::value::RawValue;

use super::wire;
use crate::model::{AccountName, Resources};
use crate::workflow::{AccountConfig, AccountFault, AccountPolicy, resolve_account_faults};

/// Parses the accounts, and returns their faults.
pub(super) fn parse(tenants: &[Box<RawValue>]) -> (Vec<AccountConfig>, Vec<AccountFault>) {
    let mut faults = Vec::new();
    let mut accounts = Vec::with_capacity(tenants.len());
    for (index, text) in tenants.iter().enumerate() {
        match serde_json::from_str::<wire::Tenant>(text.get()) {
            Ok(tenant) => accounts.push(account(tenant, &mut faults)),
            Err(error) => faults.push(AccountFault::Unreadable(index, position(&error))),
        }
    }
    let (accounts, further) = resolve_account_faults(accounts);
    faults.extend(further);
    (accounts, faults)
}

fn account(tenant: wire::Tenant, faults: &mut Vec<AccountFault>) -> AccountConfig {
    let name = AccountName::new(&tenant.name);
    let max = tenant.max_count.unwrap_or_default();
    let mut dimension = |value: &Value, what: &'static str| {
        limit(value).unwrap_or_else(|| {
            faults.push(AccountFault::Limit(name.clone(), what));
            0
        })
    };
    let limit = Resources {
        cpu_milli: dimension(&max.cpu, "processors"),
        memory_mib: dimension(&max.mem_mb, "memory"),
        accelerators: dimension(&max.gpu, "accelerators"),
    };
    let submissions_per_s = match &tenant.weight {
        Value::Null => 0.0,
        value => value.as_f64().unwrap_or(f64::NAN),
    };
    AccountConfig {
        policy: AccountPolicy {
            name,
            submissions_per_s,
            limit,
        },
        keys: tenant.keys.unwrap_or_default(),
    }
}

/// A dimension of a limit, where 0 is no limit; `None` if it is negative or not a number. A limit below 1
/// is 1, because rounded down it would be none.
fn limit(value: &Value) -> Option<u32> {
    if value.is_null() {
        return Some(0);
    }
    let value = value.as_f64().filter(|value| *value >= 0.0)?;
    Some(if value > 0.0 {
        // Larger numbers become the largest one.
        value.max(1.0) as u32
    } else {
        0
    })
}

/// Where a text cannot be parsed, without any of the text, which may have keys.
pub(super) fn position(error: &serde_json::Error) -> String {
    let kind = error.classify();
    format!(
        "{kind:?} error in line {} column {}",
        error.line(),
        error.column()
    )
}
