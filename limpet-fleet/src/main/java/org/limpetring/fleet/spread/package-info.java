/** Spreads versioned topics between daemons by notices, pulls and anti-entropy. */
@NullMarked
package org.limpetring.fleet.spread;

import org.jspecify.annotations.NullMarked;
