//! Numerical solution of problem (1) of hybrid SQ(d).

/// Lower bound of the load; smaller loads are treated as this one, because the solution no longer changes below it.
const LOAD_MIN: f64 = 0.02;
/// Upper bound of the load; greater loads are treated as this one, because the solution no longer changes above it.
const LOAD_MAX: f64 = 0.98;

/// Search range of the logarithm of the Lagrange multiplier theta.
const LOG_THETA_RANGE: (f64, f64) = (-30.0, 60.0);
/// Number of bisections of [`LOG_THETA_RANGE`].
const THETA_STEPS: usize = 36;
/// Number of bisections of a kind's utilisation rho in [0, 1].
const RHO_STEPS: usize = 26;

/// Power of rho below which the series of g' is truncated.
const POWER_MIN: f64 = 1e-13;
/// Exponent above which the series of g' is truncated.
const EXPONENT_MAX: f64 = 1e12;

/// Solves problem (1) and returns its `p_k`, the probability that a job goes to kind k:
///
/// ```text
/// minimise    sum over k of gamma_k g(rho_k),   g(rho) = sum over i of rho^((d^i - 1) / (d - 1)),
/// subject to  sum over k of gamma_k mu_k rho_k = lambda.
/// ```
///
/// For each kind k, gamma is the fraction of all slots (`fractions`) and mu the speed (`speeds`), each on any scale;
/// rho is the utilisation. `load` is lambda divided by the total capacity; a value that is not finite counts as full
/// load. `d` is the number of workers sampled for each job. `p_k` is the kind's part `gamma_k mu_k rho_k / lambda` of
/// the flow. It is 0 for a kind whose fraction is 0, and for all kinds if none has any capacity.
pub fn solve(fractions: &[f64], speeds: &[f64], load: f64, d: u32) -> Vec<f64> {
    let capacity: f64 = fractions.iter().zip(speeds).map(|(g, m)| g * m).sum();
    if !(capacity > 0.0 && capacity.is_finite()) {
        return vec![0.0; fractions.len()];
    }
    let total: f64 = fractions.iter().sum();
    let mu: Vec<f64> = speeds.iter().map(|m| m * total / capacity).collect();
    let load = if load.is_finite() {
        load.clamp(LOAD_MIN, LOAD_MAX)
    } else {
        LOAD_MAX
    };
    // At the optimum g'(rho_k) = theta mu_k: bisect the logarithm of theta.
    let flow = |log_theta: f64| -> Vec<f64> {
        let slopes = mu.iter().map(|m| log_theta.exp() * m);
        let rho = slopes.map(|slope| utilisation(slope, d));
        fractions
            .iter()
            .zip(&mu)
            .zip(rho)
            .map(|((fraction, mu), rho)| fraction / total * mu * rho)
            .collect()
    };
    let flow = flow(bisect(LOG_THETA_RANGE, THETA_STEPS, |log_theta| {
        flow(log_theta).iter().sum::<f64>() < load
    }));
    let sum = flow.iter().sum::<f64>();
    flow.iter()
        .map(|f| if sum > 0.0 { f / sum } else { 0.0 })
        .collect()
}

/// The utilisation rho with g'(rho) = `slope`; 0 if `slope` is at most g'(0), which is 1.
fn utilisation(slope: f64, d: u32) -> f64 {
    if slope > 1.0 {
        bisect((0.0, 1.0), RHO_STEPS, |rho| slope_at(rho, d, slope) < slope)
    } else {
        0.0
    }
}

/// The point of the range where `below` changes from true to false, found with `steps` bisections.
fn bisect((mut low, mut high): (f64, f64), steps: usize, below: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..steps {
        let middle = 0.5 * (low + high);
        *(if below(middle) { &mut low } else { &mut high }) = middle;
    }
    0.5 * (low + high)
}

/// Computes g'(rho). The summation stops once it reaches `enough`, so that the result may be any value of at least
/// `enough`.
fn slope_at(rho: f64, d: u32, enough: f64) -> f64 {
    let (mut exponent, mut power, mut sum) = (1.0f64, 1.0f64, 0.0);
    loop {
        // `power` is rho^(exponent - 1).
        sum += exponent * power;
        if sum >= enough || power < POWER_MIN || exponent > EXPONENT_MAX {
            return sum;
        }
        power = (power * rho).powi(d as i32);
        exponent = exponent * f64::from(d) + 1.0;
    }
}
