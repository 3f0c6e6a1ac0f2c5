//! The client of a VM's operators' listener.

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

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// An authenticated client of the operators' listener that the arguments name.
pub struct OperatorClient {
    client: HttpClient,
}

impl OperatorClient {
    /// Creates a client from the arguments `--operators` and `--secret-file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret cannot be read from its file.
    pub fn from_args(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("operators").copied();
        let address = address.ok_or_else(|| missing_argument("operators"))?;
        let path = args.get_one::<PathBuf>("secret-file");
        let secret = Secret::read(path.ok_or_else(|| missing_argument("secret-file"))?)?;
        let authorization = HeaderValue::try_from(format!("Bearer {}", secret.expose()));
        let authorization = authorization
            .map_err(|_| Error::Other("the secret is not a valid HTTP header value".to_owned()))?;
        Ok(Self {
            client: HttpClient::new(address, 1).with_authorization(authorization),
        })
    }

    /// Requests `path` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or is refused, or if the response cannot be decoded.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let body = self.request(Method::GET, path, Bytes::new())?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Other(format!("cannot decode the response to {path}: {error}")))
    }

    /// Sends `text` to `path` in a PUT request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or is refused.
    pub fn put(&self, path: &str, text: &str) -> Result<()> {
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.request(Method::PUT, path, body).map(drop)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::io("cannot start the async runtime"))?;
        let result = runtime.block_on(self.client.call(method, path, body, REQUEST_TIMEOUT));
        let address = self.client.address();
        let response = result
            .map_err(|error| Error::Other(format!("request to {address} failed: {error}")))?;
        if response.status.is_success() {
            return Ok(response.body);
        }
        Err(refusal_error(response.status, &response.body))
    }
}

fn missing_argument(argument: &str) -> Error {
    Error::Other(format!("missing argument --{argument}"))
}

/// The error for a refused request, with the cause if the response contains it.
fn refusal_error(status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice::<OperatorProblem>(body) {
        Ok(problem) => Error::Other(format!("{}: {}", problem.title, problem.detail)),
        Err(_) => Error::Other(format!("the VM refused the request with status {status}")),
    }
}
