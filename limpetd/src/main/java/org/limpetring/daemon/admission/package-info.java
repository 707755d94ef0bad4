/** Admission of requests to warm and cold groups. */
@NullMarked
package org.limpetring.daemon.admission;

import org.jspecify.annotations.NullMarked;
