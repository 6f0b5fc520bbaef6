//! Problem (1) of the paper, as a numerical method: it decides nothing.

const LOAD_RANGE: (f64, f64) = (0.02, 0.98); // not solved outside: at the ends every answer is the same

/// p_k of problem (1): minimise the sum of gamma_k g(rho_k), g(rho) the sum over i of rho^((d^i-1)/(d-1)),
/// under sum of gamma_k mu_k rho_k = lambda. `share` and `speed` are gamma and mu on any scale, `load` is
/// lambda over all that can be done. A kind without share gets 0; all 0 if none has any.
pub fn solve(share: &[f64], speed: &[f64], load: f64, d: u32) -> Vec<f64> {
    let capacity: f64 = share.iter().zip(speed).map(|(g, m)| g * m).sum();
    if !(capacity > 0.0 && capacity.is_finite()) {
        return vec![0.0; share.len()];
    }
    let total: f64 = share.iter().sum();
    let mu: Vec<f64> = speed.iter().map(|m| m * total / capacity).collect();
    let load = if load.is_finite() {
        load.clamp(LOAD_RANGE.0, LOAD_RANGE.1)
    } else {
        LOAD_RANGE.1
    };
    // At the optimum g'(rho_k) = theta mu_k: bisect the logarithm of theta.
    let flow = |log: f64| -> Vec<f64> {
        // The rho with g'(rho) = slope; 0 below the slope at 0, which is 1.
        let slopes = mu.iter().map(|m| log.exp() * m);
        let rho = slopes.map(|at| {
            if at > 1.0 {
                bisect((0.0, 1.0), 26, |r| slope_at(r, d, at) < at)
            } else {
                0.0
            }
        });
        share
            .iter()
            .zip(&mu)
            .zip(rho)
            .map(|((share, mu), rho)| share / total * mu * rho)
            .collect()
    };
    let flow = flow(bisect((-30.0, 60.0), 36, |log| {
        flow(log).iter().sum::<f64>() < load
    }));
    let sum = flow.iter().sum::<f64>();
    flow.iter()
        .map(|f| if sum > 0.0 { f / sum } else { 0.0 })
        .collect()
}

fn bisect((mut low, mut high): (f64, f64), steps: usize, below: impl Fn(f64) -> bool) -> f64 {
    for _ in 0..steps {
        let middle = 0.5 * (low + high);
        *(if below(middle) { &mut low } else { &mut high }) = middle;
    }
    0.5 * (low + high)
}

/// g'(rho), or anything at least `enough` once it is known to reach that.
fn slope_at(rho: f64, d: u32, enough: f64) -> f64 {
    let (mut exponent, mut power, mut sum) = (1.0f64, 1.0f64, 0.0);
    loop {
        sum += exponent * power; // power is rho^(exponent - 1)
        if sum >= enough || power < 1e-13 || exponent > 1e12 {
            return sum;
        }
        power = (power * rho).powi(d as i32);
        exponent = exponent * f64::from(d) + 1.0;
    }
}
