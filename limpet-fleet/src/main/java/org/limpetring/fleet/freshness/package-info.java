/** Tracks how up to date this daemon's knowledge of roster and configuration is. */
@NullMarked
package org.limpetring.fleet.freshness;

import org.jspecify.annotations.NullMarked;
