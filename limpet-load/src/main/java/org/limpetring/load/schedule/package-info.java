/** Experiment files, and the schedules of requests and faults generated from their seeds. */
@NullMarked
package org.limpetring.load.schedule;

import org.jspecify.annotations.NullMarked;
