/** Decides when and where a request runs, waits or is refused. */
@NullMarked
package org.limpetring.entry.place;

import org.jspecify.annotations.NullMarked;
