package org.limpetring.routing.admit;

/**
 * Smoothed time from admission to the complete response, with its mean deviation.
 *
 * <p>Jacobson, "Congestion avoidance and control", SIGCOMM 1988, appendix A.
 */
final class ServiceTimeEstimator {

  private static final double GAIN = 0.05;
  private static final double DEVIATION_FACTOR = 6.0;

  private double meanMs;
  private double deviationMs;

  ServiceTimeEstimator(long initialMs) {
    this.meanMs = initialMs;
  }

  void observe(long elapsedMs) {
    double errorMs = elapsedMs - meanMs;
    meanMs += GAIN * errorMs;
    deviationMs += GAIN * (Math.abs(errorMs) - deviationMs);
  }

  double meanMs() {
    return meanMs;
  }

  /** Returns a time that few responses exceed. */
  double highEstimateMs() {
    return meanMs + DEVIATION_FACTOR * deviationMs;
  }
}
