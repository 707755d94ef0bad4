package org.limpetring.store.http;

/** Kinds of calls to the platform, as they are counted. */
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

  /** Value of the label {@code kind}. */
  String label() {
    return label;
  }
}
