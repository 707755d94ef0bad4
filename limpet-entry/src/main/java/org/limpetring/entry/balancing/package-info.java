/** Admission control, load balancing and retry limits of requests. */
@NullMarked
package org.limpetring.entry.balancing;

import org.jspecify.annotations.NullMarked;
