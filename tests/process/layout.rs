//! The number of processes in a cell and their availability zones.

/// The processes of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub vms: usize,
    pub workers: usize,
    pub backends: usize,
    /// The number of availability zones, to which processes of each kind are assigned in turn.
    pub zones: usize,
    /// Whether the VMs connect to the platform, the workers and each other through relays.
    pub relayed: bool,
}

const DEFAULT: Layout = Layout {
    vms: 3,
    workers: 4,
    backends: 4,
    zones: 4,
    relayed: false,
};

impl Default for Layout {
    fn default() -> Self {
        DEFAULT
    }
}

/// The default layout with relays on all links.
pub const RELAYED: Layout = Layout {
    relayed: true,
    ..DEFAULT
};

impl Layout {
    /// The default layout with the number of VMs from `CHESTNUTLUG_CELL_VMS`, if it is set.
    pub fn from_env() -> Self {
        let default = Self::default();
        Self {
            vms: env_number("CHESTNUTLUG_CELL_VMS", default.vms),
            ..default
        }
    }

    /// The indices of the processes in `zone` among `count` processes of one kind.
    pub fn in_zone(self, zone: usize, count: usize) -> impl Iterator<Item = usize> {
        (zone..count).step_by(self.zones)
    }
}

/// The number in the environment variable `name`, or `default` if it is not set to a number.
pub fn env_number<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok().and_then(|text| text.parse().ok());
    value.unwrap_or(default)
}
