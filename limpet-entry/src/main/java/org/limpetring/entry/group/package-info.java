/** Planner election, and the formation, monitoring and dissolution of groups. */
@NullMarked
package org.limpetring.entry.group;

import org.jspecify.annotations.NullMarked;
