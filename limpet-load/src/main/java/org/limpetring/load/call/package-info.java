/** Callers of the system: sending requests, retrying them, and checking the responses. */
@NullMarked
package org.limpetring.load.call;

import org.jspecify.annotations.NullMarked;
