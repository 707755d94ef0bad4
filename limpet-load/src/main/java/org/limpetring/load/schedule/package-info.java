/** Experiment files and the schedules of requests and faults that follow from a seed. */
@NullMarked
package org.limpetring.load.schedule;

import org.jspecify.annotations.NullMarked;
