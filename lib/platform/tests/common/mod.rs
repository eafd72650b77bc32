//! A table that loses requests and responses, delays writes and becomes unreachable, by a given
//! plan or at random with a given seed.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_platform::{memory, table};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Step of the manual clock. It is shorter than the minimum delay between two retries.
const CLOCK_STEP: Duration = Duration::from_millis(10);

/// The fault that is injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call succeeds.
    None,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write is lost and never takes effect.
    RequestLost,
    /// The write is held back until after the next commit that gets a response, also if that one
    /// has a conflict.
    Delayed,
    /// The call fails with an error that says that it had no effect.
    Unreachable,
}

const FAULTS: [Fault; 5] = [
    Fault::None,
    Fault::ResponseLost,
    Fault::RequestLost,
    Fault::Delayed,
    Fault::Unreachable,
];

/// An in-memory table that injects faults into its calls.
pub struct FaultyTable {
    inner: memory::MemoryPlatform,
    state: Mutex<State>,
}

struct State {
    plan: Vec<Fault>,
    random: Option<ChaCha8Rng>,
    delayed: Vec<table::Transaction>,
    applied: Vec<table::Transaction>,
    received: Vec<table::Transaction>,
}

impl FaultyTable {
    /// Creates a table that injects the faults of `plan` into successive calls. Later calls
    /// succeed.
    pub fn with_plan(plan: &[Fault]) -> Arc<Self> {
        Self::new(plan.iter().rev().copied().collect(), None)
    }

    /// Creates a table that injects random faults, generated from `seed`.
    pub fn with_seed(seed: u64) -> Arc<Self> {
        Self::new(Vec::new(), Some(ChaCha8Rng::seed_from_u64(seed)))
    }

    fn new(plan: Vec<Fault>, random: Option<ChaCha8Rng>) -> Arc<Self> {
        Arc::new(Self {
            inner: memory::MemoryPlatform::default(),
            state: Mutex::new(State {
                plan,
                random,
                delayed: Vec::new(),
                applied: Vec::new(),
                received: Vec::new(),
            }),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_fault(&self) -> Fault {
        let mut state = self.lock();
        match (state.plan.pop(), &mut state.random) {
            (Some(fault), _) => fault,
            (None, Some(random)) => FAULTS[random.random_range(0..FAULTS.len())],
            (None, None) => Fault::None,
        }
    }

    fn apply(&self, transaction: &table::Transaction) -> table::Commit {
        let commit = self.inner.apply(transaction);
        if commit == table::Commit::Committed {
            self.lock().applied.push(transaction.clone());
        }
        commit
    }

    /// Applies every delayed write.
    pub fn deliver_delayed(&self) {
        let delayed = std::mem::take(&mut self.lock().delayed);
        for transaction in delayed {
            self.apply(&transaction);
        }
    }

    /// Returns how many transactions that write `token` took effect.
    pub fn applied_count(&self, token: &str) -> usize {
        let carries_token = |transaction: &&table::Transaction| {
            let writes = &transaction.writes;
            writes.iter().any(|write| match &write.value {
                Some(value) => value["token"].as_str() == Some(token),
                None => false,
            })
        };
        self.lock().applied.iter().filter(carries_token).count()
    }

    /// Returns all transactions received so far, whatever their outcome.
    pub fn received(&self) -> Vec<table::Transaction> {
        self.lock().received.clone()
    }

    /// Returns the row `key`, if it exists.
    pub fn row(&self, key: &Arc<str>) -> Option<table::Row> {
        self.inner.read_rows(std::slice::from_ref(key)).pop()
    }
}

fn outcome_unknown() -> table::PlatformError {
    table::PlatformError::Unknown {
        reason: "the response was lost".to_owned(),
    }
}

fn not_applied() -> table::PlatformError {
    table::PlatformError::NotApplied {
        reason: "no connection".to_owned(),
    }
}

#[async_trait]
impl table::Table for FaultyTable {
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<table::Row>, table::PlatformError> {
        match self.next_fault() {
            Fault::None | Fault::Delayed => Ok(self.inner.read_rows(keys)),
            Fault::ResponseLost | Fault::RequestLost => Err(outcome_unknown()),
            Fault::Unreachable => Err(not_applied()),
        }
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::PlatformError> {
        Ok(self.inner.scan_rows(prefix, after, limit))
    }

    async fn commit(
        &self,
        transaction: &table::Transaction,
    ) -> Result<table::Commit, table::PlatformError> {
        self.lock().received.push(transaction.clone());
        match self.next_fault() {
            Fault::None => {
                let commit = self.apply(transaction);
                self.deliver_delayed();
                Ok(commit)
            }
            Fault::ResponseLost => {
                self.apply(transaction);
                Err(outcome_unknown())
            }
            Fault::RequestLost => Err(outcome_unknown()),
            Fault::Delayed => {
                self.lock().delayed.push(transaction.clone());
                Err(outcome_unknown())
            }
            Fault::Unreachable => Err(not_applied()),
        }
    }
}

/// Runs the future that `make` returns with a manual clock, which advances whenever a task sleeps.
pub fn run_with_manual_clock<F, T>(make: impl FnOnce(clock::Clock) -> F) -> T
where
    F: std::future::Future<Output = T>,
{
    let (clock, time) = clock::Clock::manual(0);
    let advancing = async move {
        loop {
            async_std::task::yield_now().await;
            if time.pending_sleep_count() > 0 {
                time.advance(CLOCK_STEP);
            }
        }
    };
    let future = make(clock);
    async_std::task::block_on(async {
        match futures::future::select(Box::pin(future), Box::pin(advancing)).await {
            futures::future::Either::Left((output, _)) => output,
            futures::future::Either::Right((never, _)) => never,
        }
    })
}

/// Returns a transaction that writes `token` to the row `key` on condition that the row has
/// `version`.
pub fn put(key: &Arc<str>, version: u64, token: &str) -> table::Transaction {
    let mut transaction = table::Transaction::default();
    transaction.require(key, version);
    transaction.put(key, serde_json::json!({ "token": token }));
    transaction
}
