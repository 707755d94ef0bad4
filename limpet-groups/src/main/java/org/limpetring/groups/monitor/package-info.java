/** Member reports, group health, and the merging of observations of several daemons. */
@NullMarked
package org.limpetring.groups.monitor;

import org.jspecify.annotations.NullMarked;
