/** State announcements between daemons. */
@NullMarked
package org.limpetring.entry.peer;

import org.jspecify.annotations.NullMarked;
