//! Named sets of derives.

/// Declares types with a named set of derives.
///
/// * `value`: small plain data that is `Copy`, ordered, hashable and serializable;
/// * `record`: larger data that is `Clone`, comparable and serializable.
macro_rules! common {
    (value $(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis struct $($rest)*
    };
    (value $(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis enum $($rest)*
    };
    (record $(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis struct $($rest)*
    };
    (record $(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])* $vis enum $($rest)*
    };
}
