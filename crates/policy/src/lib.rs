//! Policy programs: short scripts that say how each kind of request is handled.
//!
//! A program is written in Rhai and defines `fn plan(request)`, which returns
//! `route("service")` with what else it wants to say, or `refuse(status, why)`.
//! It is compiled and tried when it is submitted, runs within a bound on steps
//! and sizes, and has no access to anything but the request. One that fails at
//! run time gives a [`PolicyError`], which callers of this crate turn into "not
//! run": the safe answer, since nothing has been sent anywhere.

mod engine;
mod plan;
mod request;

use std::fmt;
use std::sync::{Arc, OnceLock};

use rhai::{AST, Engine, EvalAltResult, Position, Scope};

pub use plan::{PolicyDecision, PolicyPlan};
pub use request::{RequestView, RouteDefaults};

/// Steps that one evaluation may take.
pub const MAX_STEPS: u64 = 20_000;

/// A compiled and checked policy. Clones share it.
#[derive(Clone)]
pub struct PolicyProgram {
    ast: Arc<AST>,
}

impl PolicyProgram {
    /// Compiles a program, and tries it on requests of the usual methods.
    ///
    /// # Errors
    /// The program does not compile, has no `plan(request)`, or fails on one of
    /// the requests it is tried on; with line and column.
    pub fn compile(text: &str) -> Result<PolicyProgram, PolicyError> {
        let engine = shared_engine();
        let ast = engine
            .compile(text)
            .map_err(|error| PolicyError::at(error.position(), error.err_type().to_string()))?;
        let planned = ast
            .iter_functions()
            .any(|function| function.name == "plan" && function.params.len() == 1);
        if !planned {
            return Err(PolicyError::at(Position::NONE, "it defines no 'fn plan(request)'".into()));
        }
        let program = PolicyProgram { ast: Arc::new(ast) };
        for method in ["GET", "HEAD", "POST", "PUT", "DELETE"] {
            let request = RequestView::new(method, "/", "", "caller", Vec::new());
            program.plan(request).map_err(|fault| fault.on(method))?;
        }
        Ok(program)
    }

    /// What the policy says about a request.
    ///
    /// # Errors
    /// The program failed, ran out of steps or returned something else.
    pub fn plan(&self, request: RequestView) -> Result<PolicyDecision, PolicyError> {
        let mut scope = Scope::new();
        let result =
            shared_engine().call_fn::<PolicyDecision>(&mut scope, &self.ast, "plan", (request,));
        result.map_err(|error| PolicyError::run_time(&error))
    }
}

impl fmt::Debug for PolicyProgram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PolicyProgram(..)")
    }
}

/// What is wrong with a program, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyError {
    /// Line, counted from 1, where known.
    pub line: Option<usize>,
    /// Column, counted from 1, where known.
    pub column: Option<usize>,
    /// What is wrong.
    pub reason: String,
}

impl PolicyError {
    fn at(position: Position, reason: String) -> PolicyError {
        PolicyError { line: position.line(), column: position.position(), reason }
    }

    fn run_time(error: &EvalAltResult) -> PolicyError {
        let inner = innermost(error);
        let mut bare = inner.to_string();
        // The library appends the position, which stands in fields of its own here.
        if let Some(end) = bare.find(" (line ") {
            bare.truncate(end);
        }
        PolicyError::at(inner.position(), bare)
    }

    fn on(mut self, method: &str) -> PolicyError {
        self.reason = format!("{} (tried on {method} /)", self.reason);
        self
    }
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (Some(line), Some(column)) => {
                write!(f, "line {line}, column {column}: {}", self.reason)
            }
            (Some(line), None) => write!(f, "line {line}: {}", self.reason),
            _ => f.write_str(&self.reason),
        }
    }
}

impl std::error::Error for PolicyError {}

/// One engine for all programs: it is some hundred kilobytes, a program a few.
fn shared_engine() -> &'static Engine {
    static ENGINE: OnceLock<Engine> = OnceLock::new();
    ENGINE.get_or_init(engine::policy_engine)
}

fn innermost(error: &EvalAltResult) -> &EvalAltResult {
    match error {
        EvalAltResult::ErrorInFunctionCall(_, _, inner, _) => innermost(inner),
        other => other,
    }
}
