/** Admission: limits, fair queues between callers, deadlines and the retry budget. */
@NullMarked
package org.limpetring.routing.admit;

import org.jspecify.annotations.NullMarked;
