/** Measurements and their presentation as JSON, text and plot. */
@NullMarked
package org.limpetring.load.report;

import org.jspecify.annotations.NullMarked;
