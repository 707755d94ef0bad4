/** Controller that collects reports, runs the planner, stores plans and sends orders. */
@NullMarked
package org.limpetring.groups.control;

import org.jspecify.annotations.NullMarked;
