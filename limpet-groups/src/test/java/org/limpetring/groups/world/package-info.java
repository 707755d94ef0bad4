/** Fakes of engines and daemons under one clock, histories of faults and measurements. */
@NullMarked
package org.limpetring.groups.world;

import org.jspecify.annotations.NullMarked;
