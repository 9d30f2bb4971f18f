//! Policy programs: short scripts that decide how each kind of request is handled.
//!
//! A program is written in Rhai and defines `fn plan(request)`, which returns
//! `route("service")`, optionally followed by settings such as `.attempts(3)`, or
//! `refuse(status, reason)`. It is compiled and run on sample requests when it is submitted,
//! runs within bounds on steps and sizes, and has access to nothing but the request. A failure
//! at run time gives a [`PolicyError`], for which the callers of this crate report the request
//! as not run. That is safe, since nothing has been sent to a target by then.

mod engine;
mod plan;
mod request;

use std::fmt;
use std::sync::{Arc, OnceLock};

use rhai::{AST, Engine, EvalAltResult, Position, Scope};

pub use plan::{PolicyDecision, PolicyPlan};
pub use request::{RequestView, RouteDefaults};

/// Maximum number of Rhai operations of one evaluation.
pub const MAX_STEPS: u64 = 20_000;

/// A compiled and checked policy program. Clones share the compiled form.
#[derive(Clone)]
pub struct PolicyProgram {
    ast: Arc<AST>,
}

impl PolicyProgram {
    /// Compiles a program and runs it on one sample request for each of the methods GET, HEAD,
    /// POST, PUT and DELETE.
    ///
    /// # Errors
    /// The program does not compile, does not define `plan(request)`, or fails on one of the
    /// sample requests. The error has line and column where Rhai gives them.
    pub fn compile(text: &str) -> Result<PolicyProgram, PolicyError> {
        let engine = shared_engine();
        let ast = engine
            .compile(text)
            .map_err(|error| PolicyError::at(error.position(), error.err_type().to_string()))?;
        let defines_plan = ast
            .iter_functions()
            .any(|function| function.name == "plan" && function.params.len() == 1);
        if !defines_plan {
            return Err(PolicyError::at(Position::NONE, "it defines no 'fn plan(request)'".into()));
        }
        let program = PolicyProgram { ast: Arc::new(ast) };
        for method in ["GET", "HEAD", "POST", "PUT", "DELETE"] {
            let request = RequestView::new(method, "/", "", "caller", Vec::new());
            program.plan(request).map_err(|error| error.for_method(method))?;
        }
        Ok(program)
    }

    /// Evaluates the program for a request.
    ///
    /// # Errors
    /// The program failed, exceeded [`MAX_STEPS`] or returned something other than a decision.
    pub fn plan(&self, request: RequestView) -> Result<PolicyDecision, PolicyError> {
        let mut scope = Scope::new();
        let result =
            shared_engine().call_fn::<PolicyDecision>(&mut scope, &self.ast, "plan", (request,));
        result.map_err(|error| PolicyError::at_run_time(&error))
    }
}

impl fmt::Debug for PolicyProgram {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PolicyProgram(..)")
    }
}

/// A failure of a policy program, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyError {
    /// The line, counted from 1, where known.
    pub line: Option<usize>,
    /// The column, counted from 1, where known.
    pub column: Option<usize>,
    /// The cause of the failure, without the position.
    pub reason: String,
}

impl PolicyError {
    fn at(position: Position, reason: String) -> PolicyError {
        PolicyError { line: position.line(), column: position.position(), reason }
    }

    fn at_run_time(error: &EvalAltResult) -> PolicyError {
        let inner = innermost(error);
        let mut reason = inner.to_string();
        // Rhai appends the position, which has fields of its own here.
        if let Some(end) = reason.find(" (line ") {
            reason.truncate(end);
        }
        PolicyError::at(inner.position(), reason)
    }

    fn for_method(mut self, method: &str) -> PolicyError {
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

/// Returns the engine that all programs share: an engine takes some hundred kilobytes of memory,
/// a program a few.
fn shared_engine() -> &'static Engine {
    static ENGINE: OnceLock<Engine> = OnceLock::new();
    ENGINE.get_or_init(engine::policy_engine)
}

/// Returns the error at the bottom of a chain of nested function calls.
fn innermost(error: &EvalAltResult) -> &EvalAltResult {
    match error {
        EvalAltResult::ErrorInFunctionCall(_, _, inner, _) => innermost(inner),
        other => other,
    }
}
