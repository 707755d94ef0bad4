/** Client side of the platform ports: rate limiting, backoff, conditional updates and watches. */
@NullMarked
package org.limpetring.store.client;

import org.jspecify.annotations.NullMarked;
