package org.limpetring.store.http;

/** Kinds of platform calls, as counted in the metrics. */
enum PlatformCall {
  GET("get"),
  LIST("list"),
  PUT("put"),
  DELETE("delete"),
  WATCH("watch"),
  HOSTS("hosts"),
  WEIGHTS("weights");

  private final String label;

  PlatformCall(String label) {
    this.label = label;
  }

  /** Value of the metric label {@code kind}. */
  String label() {
    return label;
  }
}
