package org.limpetring.routing.admit;

/**
 * Smoothed time from admission to the whole answer, with its mean deviation.
 *
 * <p>Jacobson, "Congestion avoidance and control", SIGCOMM 1988, appendix A.
 */
final class ServiceTimeEstimator {

  private static final double GAIN = 0.05;
  private static final double DEVIATIONS = 6.0;

  private double meanMs;
  private double deviationMs;

  ServiceTimeEstimator(long initialMs) {
    this.meanMs = initialMs;
  }

  void observe(long takenMs) {
    double error = takenMs - meanMs;
    meanMs += GAIN * error;
    deviationMs += GAIN * (Math.abs(error) - deviationMs);
  }

  double meanMs() {
    return meanMs;
  }

  /** Time that few answers exceed. */
  double safeMs() {
    return meanMs + DEVIATIONS * deviationMs;
  }
}
