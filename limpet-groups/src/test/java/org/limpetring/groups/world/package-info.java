/**
 * Simulation of engines and daemons on one clock: property tests with random faults, and
 * measurements.
 */
@NullMarked
package org.limpetring.groups.world;

import org.jspecify.annotations.NullMarked;
