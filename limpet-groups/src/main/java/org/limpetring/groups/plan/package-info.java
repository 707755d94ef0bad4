/** Planner that assigns the hosts of a fabric domain to groups. */
@NullMarked
package org.limpetring.groups.plan;

import org.jspecify.annotations.NullMarked;
