/**
 * Value types that every other library shares: time, identifiers, result codes, events, counters.
 */
@NullMarked
package org.limpetring.base;

import org.jspecify.annotations.NullMarked;
