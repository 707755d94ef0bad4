/** Callers of the system: requests, tries, and the reading of answers. */
@NullMarked
package org.limpetring.load.call;

import org.jspecify.annotations.NullMarked;
