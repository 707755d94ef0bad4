/** Durable claims of idempotency keys, so that non-idempotent work runs at most once. */
@NullMarked
package org.limpetring.routing.claim;

import org.jspecify.annotations.NullMarked;
