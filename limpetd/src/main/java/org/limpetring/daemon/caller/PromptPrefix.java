package org.limpetring.daemon.caller;

import net.openhft.hashing.LongHashFunction;

/** Hash of the start of a prompt; requests with equal prefixes can share an upstream's cache. */
final class PromptPrefix {

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final int PREFIX_BYTES = 512;

  private PromptPrefix() {}

  /** Hash of the first bytes of a model request's body; 0 for other requests. */
  static long hash(CallerRequest request) {
    if (request.chat().model() == null) {
      return 0;
    }
    byte[] body = request.body();
    return HASH.hashBytes(body, 0, Math.min(PREFIX_BYTES, body.length));
  }
}
