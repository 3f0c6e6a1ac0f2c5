//! Calls the operators' listener of a VM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::adapter::http::HttpClient;
use crate::error::{Error, Result};
use crate::report::OperatorProblem;
use crate::settings::Secret;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of the operators' listener that the arguments name.
pub struct Operators {
    client: HttpClient,
}

impl Operators {
    /// Reads the address and the secret's file from the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error where the file holds no secret.
    pub fn of(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("operators").copied();
        let address = address.ok_or_else(|| missing("operators"))?;
        let path = args.get_one::<PathBuf>("secret-file");
        let secret = Secret::read(path.ok_or_else(|| missing("secret-file"))?)?;
        let proof = HeaderValue::try_from(format!("Bearer {}", secret.expose()));
        let proof = proof.map_err(|_| Error::Other("the secret fits no header".to_owned()))?;
        Ok(Self {
            client: HttpClient::new(address, 1).with_authorization(proof),
        })
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the call fails or is refused.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let body = self.call(Method::GET, path, Bytes::new())?;
        serde_json::from_slice(&body).map_err(|error| Error::Other(format!("{path}: {error}")))
    }

    /// Writes `text` to `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the call fails or is refused.
    pub fn put(&self, path: &str, text: &str) -> Result<()> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.call(Method::PUT, path, body).map(drop)
    }

    fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::io("start the runtime"))?;
        let called = runtime.block_on(self.client.call(method, path, body, CALL_TIMEOUT));
        let address = self.client.address();
        let answer = called.map_err(|error| Error::Other(format!("{address}: {error}")))?;
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        Err(refused(answer.status, &answer.body))
    }
}

fn missing(argument: &str) -> Error {
    Error::Other(format!("name the argument --{argument}"))
}

fn refused(status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice::<OperatorProblem>(body) {
        Ok(problem) => Error::Other(format!("{}: {}", problem.title, problem.detail)),
        Err(_) => Error::Other(format!("status {status}")),
    }
}
