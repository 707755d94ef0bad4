/** Value types of the entry host; no I/O and no decisions. */
@NullMarked
package org.limpetring.entry.model;

import org.jspecify.annotations.NullMarked;
