//! Numerical solution of problem (1) of hybrid SQ(d).

/// Loads outside are moved to the nearer bound: beyond them the solution does not change any more.
const LOAD_MIN: f64 = 0.02;
/// See [`LOAD_MIN`].
const LOAD_MAX: f64 = 0.98;

/// Range of the logarithm of the Lagrange multiplier theta.
const LOG_THETA_RANGE: (f64, f64) = (-30.0, 60.0);
/// Bisections of [`LOG_THETA_RANGE`].
const THETA_STEPS: usize = 36;
/// Bisections of a kind's utilisation rho in [0, 1].
const RHO_STEPS: usize = 26;

/// Power of rho below which the rest of the series of g' is left out.
const POWER_MIN: f64 = 1e-13;
/// Exponent above which the rest of the series of g' is left out.
const EXPONENT_MAX: f64 = 1e12;

/// The `p_k` of problem (1):
///
/// ```text
/// minimise    sum over k of gamma_k g(rho_k),   g(rho) = sum over i of rho^((d^i - 1) / (d - 1)),
/// subject to  sum over k of gamma_k mu_k rho_k = lambda.
/// ```
///
/// `fractions` and `speeds` are gamma and mu, each on any scale, `load` is lambda divided by the total capacity. A kind
/// whose fraction is 0 gets 0; all get 0 if no kind has any capacity.
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

/// The rho with g'(rho) = `slope`; 0 below the slope at 0, which is 1.
fn utilisation(slope: f64, d: u32) -> f64 {
    if slope > 1.0 {
        bisect((0.0, 1.0), RHO_STEPS, |rho| slope_at(rho, d, slope) < slope)
    } else {
        0.0
    }
}

/// The point of the range at which `below` turns false, after `steps` bisections.
fn bisect((mut low, mut high): (f64, f64), steps: usize, below: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..steps {
        let middle = 0.5 * (low + high);
        *(if below(middle) { &mut low } else { &mut high }) = middle;
    }
    0.5 * (low + high)
}

/// g'(rho), or any value of at least `enough` once the sum has reached it.
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
